#include "StoreWatch.h"

#include "HttpCall.h"

#include <algorithm>

namespace bilberry {

// Pauses after failed calls: doubled up to the longest one.
static constexpr Milliseconds initialBackoff { 50 };
static constexpr Milliseconds maxBackoff { 400 };
// Longest time for an answer to a call that doesn't wait.
static constexpr Milliseconds listTimeout { 1000 };
// Longest wait of a call after one that failed.
static constexpr Milliseconds probeLongPollWait { 50 };
// Answer to a watch whose history is gone.
static constexpr int httpStatusGone = 410;

struct StoreWatch::State : std::enable_shared_from_this<StoreWatch::State> {
    State(EventLoop& loop, const StoreAdapter& dialect, const StoreWatchSettings& settings, StoreWatchHandlers handlers)
        : loop(loop)
        , dialect(dialect)
        , settings(settings)
        , handlers(std::move(handlers))
        , caller(loop, settings.store)
        , timer(loop)
    {
    }

    void requestNextPage();
    void handlePage(const CallResult&);
    void requestChanges();
    void handleChanges(const CallResult&);
    void retryAfterFailure(const std::string& reason);
    void scheduleStep(Milliseconds pause, void (State::*step)());

    EventLoop& loop;
    const StoreAdapter& dialect;
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
    int consecutiveFailures = 0;
    uint64_t callCount = 0;
};

void StoreWatch::State::scheduleStep(Milliseconds pause, void (State::*step)())
{
    this->timer.expires_after(pause);
    this->timer.async_wait([self = this->shared_from_this(), step](const boost::system::error_code& error) {
        if (hasFired(self->timer, error) && !self->isStopped)
            (self.get()->*step)();
    });
}

void StoreWatch::State::requestNextPage()
{
    ++this->callCount;
    bool isFirst = this->listing.empty();
    if (isFirst)
        this->listingSentAt = BootClock::now();
    auto after = isFirst ? std::string() : this->listing.back().key;
    auto path = this->dialect.listPath(this->settings.prefix, after, false);
    this->caller.get(path, listTimeout, [weak = this->weak_from_this()](const CallResult& result) {
        if (auto self = weak.lock())
            self->handlePage(result);
    });
}

void StoreWatch::State::handlePage(const CallResult& result)
{
    if (result.status != 200) {
        this->listing.clear();
        this->retryAfterFailure(result.describe());
        return;
    }
    auto page = this->dialect.parsePage(result.body);
    if (!page.ok()) {
        this->listing.clear();
        this->retryAfterFailure(std::string(page.status().message()));
        return;
    }
    if (this->listing.empty())
        this->listingRevision = page->revision;
    bool isLast = !page->hasMore || page->items.empty();
    std::move(page->items.begin(), page->items.end(), std::back_inserter(this->listing));
    if (!isLast) {
        this->requestNextPage();
        return;
    }
    this->consecutiveFailures = 0;
    this->isListed = true;
    this->revision = this->listingRevision;
    auto items = std::move(this->listing);
    this->listing.clear();
    this->handlers.onListing(items, this->listingSentAt);
    this->requestChanges();
}

void StoreWatch::State::requestChanges()
{
    if (!this->isListed) {
        this->requestNextPage();
        return;
    }
    ++this->callCount;
    this->sentAt = BootClock::now();
    // After a failure a short call finds out soon whether the store is back.
    auto wait = this->consecutiveFailures > 0 ? std::min(probeLongPollWait, this->settings.longPollWait) : this->settings.longPollWait;
    auto path = this->dialect.watchPath(this->settings.prefix, this->revision, wait);
    this->caller.get(path, wait + this->settings.answerSlack, [weak = this->weak_from_this()](const CallResult& result) {
        if (auto self = weak.lock())
            self->handleChanges(result);
    });
}

void StoreWatch::State::handleChanges(const CallResult& result)
{
    if (result.status == httpStatusGone) {
        this->isListed = false;
        this->requestNextPage();
        return;
    }
    if (result.status != 200) {
        this->retryAfterFailure(result.describe());
        return;
    }
    auto changes = this->dialect.parseChanges(result.body);
    if (!changes.ok()) {
        this->retryAfterFailure(std::string(changes.status().message()));
        return;
    }
    // A revision that goes back shows another history.
    if (changes->revision < this->revision) {
        this->isListed = false;
        this->requestNextPage();
        return;
    }
    this->consecutiveFailures = 0;
    this->revision = changes->revision;
    this->handlers.onChanges(changes->changes, this->sentAt);
    this->scheduleStep(this->settings.pauseBetweenCalls, &State::requestChanges);
}

void StoreWatch::State::retryAfterFailure(const std::string& reason)
{
    ++this->consecutiveFailures;
    this->handlers.onFailure(reason, this->consecutiveFailures);
    auto pause = std::min(maxBackoff, initialBackoff * (1 << std::min(this->consecutiveFailures - 1, 5)));
    this->scheduleStep(pause, &State::requestChanges);
}

StoreWatch::StoreWatch(EventLoop& loop, const StoreAdapter& dialect, const StoreWatchSettings& settings, StoreWatchHandlers handlers)
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
    this->state->requestChanges();
}

uint64_t StoreWatch::callCount() const
{
    return this->state->callCount;
}

} // namespace bilberry
