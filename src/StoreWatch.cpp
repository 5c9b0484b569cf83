#include "StoreWatch.h"

#include "HttpCall.h"

#include <algorithm>

namespace bilberry {

// The backoff after failed calls doubles with each consecutive failure up to the maximum.
static constexpr Milliseconds initialBackoff { 50 };
static constexpr Milliseconds maxBackoff { 400 };
// Timeout of a listing call, which the store answers at once.
static constexpr Milliseconds listTimeout { 1000 };
// Longest time for which the store may hold a call that follows a failed one.
static constexpr Milliseconds probeLongPollWait { 50 };
// The store's answer to a watch call when it no longer has the history since the given revision.
static constexpr int httpStatusGone = 410;

struct StoreWatch::State : std::enable_shared_from_this<StoreWatch::State> {
    State(EventLoop& loop, const StoreAdapter& adapter, const StoreWatchSettings& settings, StoreWatchHandlers handlers)
        : loop(loop)
        , adapter(adapter)
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
    void failListing(const std::string& reason);
    void reportFaults(const std::vector<std::string>& faults);
    void scheduleStep(Milliseconds delay, void (State::*step)());

    EventLoop& loop;
    const StoreAdapter& adapter;
    StoreWatchSettings settings;
    StoreWatchHandlers handlers;
    HttpCaller caller;
    LoopTimer timer;
    bool isStopped = false;
    bool isPaused = false;
    bool isIdle = false; ///< Whether no call is in flight or scheduled, because of a pause.
    bool isListed = false; ///< Whether a complete listing was received, which watch calls can continue from.
    std::vector<StoreChange> listing; ///< The pages received so far.
    std::string listingLastKey; ///< The last key of these pages; empty before the first one.
    uint64_t listingEra = 0; ///< The era of the first page; all pages must be of it.
    uint64_t listingRevision = 0; ///< The revision of the first page; later pages may lack changes made since then.
    BootTimePoint listingSentAt {};
    BootTimePoint sentAt {};
    uint64_t era = 0; ///< The era of the last complete listing.
    uint64_t revision = 0;
    int consecutiveFailures = 0;
    uint64_t callCount = 0;
};

void StoreWatch::State::scheduleStep(Milliseconds delay, void (State::*step)())
{
    this->timer.expires_after(delay);
    this->timer.async_wait([self = this->shared_from_this(), step](const boost::system::error_code& error) {
        if (hasFired(self->timer, error) && !self->isStopped)
            (self.get()->*step)();
    });
}

void StoreWatch::State::requestNextPage()
{
    ++this->callCount;
    bool isFirst = this->listingLastKey.empty();
    if (isFirst)
        this->listingSentAt = BootClock::now();
    auto path = this->adapter.listPath(this->settings.prefix, this->listingLastKey, false);
    this->caller.get(path, listTimeout, [weak = this->weak_from_this()](const CallResult& result) {
        if (auto self = weak.lock())
            self->handlePage(result);
    });
}

// Gives up the listing in progress; it begins again after a pause.
void StoreWatch::State::failListing(const std::string& reason)
{
    this->listing.clear();
    this->listingLastKey.clear();
    this->retryAfterFailure(reason);
}

void StoreWatch::State::reportFaults(const std::vector<std::string>& faults)
{
    for (const auto& fault : faults) {
        if (this->handlers.onUnreadable)
            this->handlers.onUnreadable(fault);
    }
}

void StoreWatch::State::handlePage(const CallResult& result)
{
    auto page = result.status == 200 ? this->adapter.parsePage(result.body) : absl::StatusOr<StorePage>(absl::UnavailableError(result.describe()));
    auto era = page.ok() ? this->adapter.parseEra(result.headers) : absl::StatusOr<uint64_t>(page.status());
    if (!era.ok()) {
        this->failListing(std::string(era.status().message()));
        return;
    }
    bool isFirst = this->listingLastKey.empty();
    if (isFirst) {
        this->listingEra = *era;
        this->listingRevision = page->revision;
    }
    if (*era != this->listingEra || *era < this->era) {
        this->failListing(*era < this->era ? "a listing of an earlier era" : "the era rose between two pages of a listing");
        return;
    }
    this->reportFaults(page->faults);
    for (auto& item : page->items)
        item.era = *era;
    bool isEmpty = page->items.empty() && page->faults.empty();
    bool isLast = !page->hasMore || isEmpty;
    if (!isLast && page->lastKey.empty()) {
        this->failListing("a page of a listing has no key from which the next one goes on");
        return;
    }
    std::move(page->items.begin(), page->items.end(), std::back_inserter(this->listing));
    this->listingLastKey = page->lastKey;
    if (!isLast) {
        this->requestNextPage();
        return;
    }
    this->listingLastKey.clear();
    this->consecutiveFailures = 0;
    this->isListed = true;
    this->era = this->listingEra;
    this->revision = this->listingRevision;
    auto items = std::move(this->listing);
    this->listing.clear();
    this->handlers.onListing(items, { this->era, this->revision }, this->listingSentAt);
    this->requestChanges();
}

void StoreWatch::State::requestChanges()
{
    if (this->isPaused) {
        this->isIdle = true;
        return;
    }
    if (!this->isListed) {
        this->requestNextPage();
        return;
    }
    ++this->callCount;
    this->sentAt = BootClock::now();
    // After a failure a short call detects the return of the store early.
    auto wait = this->consecutiveFailures > 0 ? std::min(probeLongPollWait, this->settings.longPollWait) : this->settings.longPollWait;
    auto path = this->adapter.watchPath(this->settings.prefix, this->revision, wait);
    this->caller.get(path, wait + this->settings.timeoutMargin, [weak = this->weak_from_this()](const CallResult& result) {
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
    auto changes = this->adapter.parseChanges(result.body);
    if (!changes.ok()) {
        this->retryAfterFailure(std::string(changes.status().message()));
        return;
    }
    auto answerEra = this->adapter.parseEra(result.headers);
    if (!answerEra.ok()) {
        this->retryAfterFailure(std::string(answerEra.status().message()));
        return;
    }
    // After a return from an older copy, the store gives out revisions a second time, so that even changes that seem to
    // continue may not. The items are listed again then, and also when the revision decreases.
    if (*answerEra != this->era || changes->revision < this->revision) {
        this->isListed = false;
        this->requestNextPage();
        return;
    }
    this->reportFaults(changes->faults);
    for (auto& change : changes->changes)
        change.era = *answerEra;
    this->consecutiveFailures = 0;
    this->revision = changes->revision;
    this->handlers.onChanges(changes->changes, this->sentAt);
    this->scheduleStep(this->settings.pauseBetweenCalls, &State::requestChanges);
}

void StoreWatch::State::retryAfterFailure(const std::string& reason)
{
    ++this->consecutiveFailures;
    this->handlers.onFailure(reason, this->consecutiveFailures);
    auto backoff = std::min(maxBackoff, initialBackoff * (1 << std::min(this->consecutiveFailures - 1, 5)));
    this->scheduleStep(backoff, &State::requestChanges);
}

StoreWatch::StoreWatch(EventLoop& loop, const StoreAdapter& adapter, const StoreWatchSettings& settings, StoreWatchHandlers handlers)
    : state(std::make_shared<State>(loop, adapter, settings, std::move(handlers)))
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

void StoreWatch::setPaused(bool isPaused, const StoreVersion& version)
{
    auto& state = *this->state;
    state.isPaused = isPaused;
    if (isPaused || !state.isIdle)
        return;
    state.isIdle = false;
    if (version.era == state.era)
        state.revision = std::max(state.revision, version.revision);
    state.requestChanges();
}

uint64_t StoreWatch::callCount() const
{
    return this->state->callCount;
}

} // namespace bilberry
