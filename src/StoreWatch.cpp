#include "StoreWatch.h"

#include "HttpCall.h"

#include <algorithm>

namespace bilberry {

// Pauses after failed calls: doubled up to the longest one.
static constexpr Milliseconds firstFailurePause { 50 };
static constexpr Milliseconds longestFailurePause { 400 };
// Longest time for an answer to a call that doesn't wait.
static constexpr Milliseconds listTimeout { 1000 };
// Longest wait of a call after one that failed.
static constexpr Milliseconds probeWait { 50 };
// Answer to a watch whose history is gone.
static constexpr int statusGone = 410;

struct StoreWatch::State : std::enable_shared_from_this<StoreWatch::State> {
    State(EventLoop& loop, const StoreDialect& dialect, const StoreWatchSettings& settings, StoreWatchHandlers handlers)
        : loop(loop)
        , dialect(dialect)
        , settings(settings)
        , handlers(std::move(handlers))
        , caller(loop, settings.store)
        , timer(loop)
    {
    }

    void listNext();
    void onPage(const CallResult&);
    void watch();
    void onChanges(const CallResult&);
    void fail(const std::string& reason);
    void after(Milliseconds pause, void (State::*step)());

    EventLoop& loop;
    const StoreDialect& dialect;
    StoreWatchSettings settings;
    StoreWatchHandlers handlers;
    HttpCaller caller;
    LoopTimer timer;
    bool isStopped = false;
    bool isListed = false; ///< Whether a whole listing was taken in, so that watching makes sense.
    std::vector<StoreChange> listing;
    uint64_t listingRevision = 0; ///< Of its first page: changes since may be missing on later ones.
    BootTimePoint listingSentAt {};
    BootTimePoint sentAt {};
    uint64_t revision = 0;
    int failures = 0;
    uint64_t calls = 0;
};

void StoreWatch::State::after(Milliseconds pause, void (State::*step)())
{
    this->timer.expires_after(pause);
    this->timer.async_wait([self = this->shared_from_this(), step](const boost::system::error_code& error) {
        if (hasFired(self->timer, error) && !self->isStopped)
            (self.get()->*step)();
    });
}

void StoreWatch::State::listNext()
{
    ++this->calls;
    bool isFirst = this->listing.empty();
    if (isFirst)
        this->listingSentAt = BootClock::now();
    auto after = isFirst ? std::string() : this->listing.back().key;
    auto path = this->dialect.listPath(this->settings.prefix, after, false);
    this->caller.get(path, listTimeout, [weak = this->weak_from_this()](const CallResult& result) {
        if (auto self = weak.lock())
            self->onPage(result);
    });
}

void StoreWatch::State::onPage(const CallResult& result)
{
    if (result.status != 200) {
        this->listing.clear();
        this->fail(result.describe());
        return;
    }
    auto page = this->dialect.readPage(result.body);
    if (!page.ok()) {
        this->listing.clear();
        this->fail(std::string(page.status().message()));
        return;
    }
    if (this->listing.empty())
        this->listingRevision = page->revision;
    bool isLast = !page->hasMore || page->items.empty();
    std::move(page->items.begin(), page->items.end(), std::back_inserter(this->listing));
    if (!isLast) {
        this->listNext();
        return;
    }
    this->failures = 0;
    this->isListed = true;
    this->revision = this->listingRevision;
    auto items = std::move(this->listing);
    this->listing.clear();
    this->handlers.onListing(items, this->listingSentAt);
    this->watch();
}

void StoreWatch::State::watch()
{
    if (!this->isListed) {
        this->listNext();
        return;
    }
    ++this->calls;
    this->sentAt = BootClock::now();
    // After a failure a short call finds out soon whether the store is back.
    auto wait = this->failures > 0 ? std::min(probeWait, this->settings.wait) : this->settings.wait;
    auto path = this->dialect.watchPath(this->settings.prefix, this->revision, wait);
    this->caller.get(path, wait + this->settings.answerSlack, [weak = this->weak_from_this()](const CallResult& result) {
        if (auto self = weak.lock())
            self->onChanges(result);
    });
}

void StoreWatch::State::onChanges(const CallResult& result)
{
    if (result.status == statusGone) {
        this->isListed = false;
        this->listNext();
        return;
    }
    if (result.status != 200) {
        this->fail(result.describe());
        return;
    }
    auto changes = this->dialect.readChanges(result.body);
    if (!changes.ok()) {
        this->fail(std::string(changes.status().message()));
        return;
    }
    // A revision that goes back shows another history.
    if (changes->revision < this->revision) {
        this->isListed = false;
        this->listNext();
        return;
    }
    this->failures = 0;
    this->revision = changes->revision;
    this->handlers.onChanges(changes->changes, this->sentAt);
    this->after(this->settings.pause, &State::watch);
}

void StoreWatch::State::fail(const std::string& reason)
{
    ++this->failures;
    this->handlers.onFailure(reason, this->failures);
    auto pause = std::min(longestFailurePause, firstFailurePause * (1 << std::min(this->failures - 1, 5)));
    this->after(pause, &State::watch);
}

StoreWatch::StoreWatch(EventLoop& loop, const StoreDialect& dialect, const StoreWatchSettings& settings, StoreWatchHandlers handlers)
    : state(std::make_shared<State>(loop, dialect, settings, std::move(handlers)))
{
}

StoreWatch::~StoreWatch()
{
    this->state->isStopped = true;
    stopTimer(this->state->timer);
    this->state->caller.close();
}

void StoreWatch::start()
{
    this->state->watch();
}

uint64_t StoreWatch::callCount() const
{
    return this->state->calls;
}

} // namespace bilberry
