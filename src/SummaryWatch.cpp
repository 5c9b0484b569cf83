#include "SummaryWatch.h"

#include "HttpCall.h"

#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

// Time within which an answer must arrive, in addition to the time for which the entry may hold it.
static constexpr Milliseconds answerTimeoutMargin { 800 };
// Pause between requests while summaries are needed urgently.
static constexpr Milliseconds urgentPause { 500 };
// Bounds of the pause after a failure. The longest one is also the longest time for which an entry that answers again isn't
// noticed.
static constexpr Milliseconds minFailurePause { 50 };
static constexpr Milliseconds maxFailurePause { 1000 };
// Age of an entry's cluster view above which another entry is asked instead.
static constexpr Milliseconds maxSummaryAge { 3000 };

struct SummaryWatch::State : std::enable_shared_from_this<SummaryWatch::State> {
    State(EventLoop& loop, const SummaryWatchSettings& settings, SummaryWatchHandlers handlers)
        : settings(settings)
        , handlers(std::move(handlers))
        , caller(loop, Address())
        , timer(loop)
    {
        this->directory.ownHost = settings.ip;
        this->directory.dataCentre = settings.dataCentre;
        for (const auto& seed : settings.seeds)
            this->directory.add(seed, {});
    }

    void requestSummary();
    void handleResponse(const std::string& ip, const CallResult&, BootTimePoint sentAt);
    void handleSummary(const std::string& ip, const ServiceSummary&);
    void retryAfterFailure(const std::string& ip, const std::string& reason);
    void scheduleRequest(Milliseconds pause);

    SummaryWatchSettings settings;
    SummaryWatchHandlers handlers;
    HttpCaller caller;
    LoopTimer timer;
    EntryDirectory directory;
    std::string currentEntry;
    bool isStopped = false;
    bool isUrgent = true; ///< The first summary is needed at once.
    bool hasSummary = false;
    uint32_t newestKnownVersion = 0; ///< The newest named version in any summary received.
};

void SummaryWatch::State::scheduleRequest(Milliseconds pause)
{
    this->timer.expires_after(pause);
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& error) {
        if (hasFired(self->timer, error) && !self->isStopped)
            self->requestSummary();
    });
}

void SummaryWatch::State::requestSummary()
{
    auto ip = chooseEntry(this->directory, Clock::now());
    if (ip.empty())
        return;
    bool mayBeHeld = this->hasSummary && !this->isUrgent;
    auto timeout = answerTimeoutMargin + (mayBeHeld ? summaryHoldTime : Milliseconds(0));
    this->caller.setAddress({ ip, this->settings.port });
    auto path = fmt::format("{}{}/{}/{}", summaryPathPrefix, this->newestKnownVersion, mayBeHeld ? 0 : 1, this->settings.service);
    this->caller.get(path, timeout, [weak = this->weak_from_this(), ip, sentAt = BootClock::now()](const CallResult& result) {
        if (auto self = weak.lock())
            self->handleResponse(ip, result, sentAt);
    });
}

void SummaryWatch::State::handleResponse(const std::string& ip, const CallResult& result, BootTimePoint sentAt)
{
    if (result.status != 200) {
        this->retryAfterFailure(ip, result.describe());
        return;
    }
    auto summary = decodeServiceSummary(result.body);
    if (!summary.ok()) {
        this->retryAfterFailure(ip, std::string(summary.status().message()));
        return;
    }
    summary->madeAfter = sentAt + std::clamp(summary->heldFor, Milliseconds(0), summaryHoldTime);
    this->handleSummary(ip, *summary);
}

void SummaryWatch::State::handleSummary(const std::string& ip, const ServiceSummary& summary)
{
    this->directory.recordAnswer(ip, summary.dataCentre);
    for (const auto& other : summary.entries)
        this->directory.add(other, summary.dataCentre);
    if (summary.age > maxSummaryAge)
        this->directory.recordFailure(ip, Clock::now());
    this->currentEntry = ip;
    this->hasSummary = true;
    this->newestKnownVersion = std::max(this->newestKnownVersion, newestNamedVersion(summary));
    this->handlers.onSummary(summary);
    this->scheduleRequest(this->isUrgent || summary.age > maxSummaryAge ? urgentPause : Milliseconds(0));
}

void SummaryWatch::State::retryAfterFailure(const std::string& ip, const std::string& reason)
{
    auto now = Clock::now();
    this->directory.recordFailure(ip, now);
    if (ip == this->currentEntry)
        this->currentEntry.clear();
    this->handlers.onEntryFailure(ip + ": " + reason);
    auto untilNextEntry = std::chrono::ceil<Milliseconds>(timeUntilUnavoidedEntry(this->directory, now));
    this->scheduleRequest(std::clamp(untilNextEntry, minFailurePause, maxFailurePause));
}

SummaryWatch::SummaryWatch(EventLoop& loop, const SummaryWatchSettings& settings, SummaryWatchHandlers handlers)
    : state(std::make_shared<State>(loop, settings, std::move(handlers)))
{
}

SummaryWatch::~SummaryWatch()
{
    this->state->isStopped = true;
    stopTimer(this->state->timer);
    this->state->caller.close();
}

void SummaryWatch::start()
{
    this->state->requestSummary();
}

void SummaryWatch::setUrgent(bool isUrgent)
{
    this->state->isUrgent = isUrgent;
}

const std::string& SummaryWatch::currentEntry() const
{
    return this->state->currentEntry;
}

} // namespace bilberry
