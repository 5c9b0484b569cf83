#include "SummaryWatch.h"

#include "HttpCall.h"

#include <fmt/format.h>

namespace bilberry {

// Time beyond that of holding in which the answer must come.
static constexpr Milliseconds answerSlack { 800 };
// Pause between briefs that are wanted soon, and after a failure.
static constexpr Milliseconds urgentPause { 500 };
static constexpr Milliseconds failurePause { 50 };
// An entry whose knowledge is older than that is left for another one.
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
    void handleResponse(const std::string& ip, const CallResult&);
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
    bool isUrgent = true; ///< The first brief is wanted at once.
    bool hasSummary = false;
    uint32_t newestKnownVersion = 0; ///< Version named last, as known here.
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
    auto timeout = answerSlack + (mayBeHeld ? summaryHoldTime : Milliseconds(0));
    this->caller.setAddress({ ip, this->settings.port });
    auto path = fmt::format("{}{}/{}/{}", summaryPathPrefix, this->newestKnownVersion, mayBeHeld ? 0 : 1, this->settings.service);
    this->caller.get(path, timeout, [weak = this->weak_from_this(), ip](const CallResult& result) {
        if (auto self = weak.lock())
            self->handleResponse(ip, result);
    });
}

void SummaryWatch::State::handleResponse(const std::string& ip, const CallResult& result)
{
    if (result.status != 200) {
        this->retryAfterFailure(ip, result.describe());
        return;
    }
    auto brief = decodeServiceSummary(result.body);
    if (brief.ok())
        this->handleSummary(ip, *brief);
    else
        this->retryAfterFailure(ip, std::string(brief.status().message()));
}

void SummaryWatch::State::handleSummary(const std::string& ip, const ServiceSummary& brief)
{
    this->directory.noteAnswer(ip, brief.dataCentre);
    for (const auto& other : brief.entries)
        this->directory.add(other, brief.dataCentre);
    if (brief.age > maxSummaryAge)
        this->directory.noteFailure(ip, Clock::now());
    this->currentEntry = ip;
    this->hasSummary = true;
    this->newestKnownVersion = std::max(this->newestKnownVersion, newestNamedVersion(brief));
    this->handlers.onSummary(brief);
    this->scheduleRequest(this->isUrgent || brief.age > maxSummaryAge ? urgentPause : Milliseconds(0));
}

void SummaryWatch::State::retryAfterFailure(const std::string& ip, const std::string& reason)
{
    this->directory.noteFailure(ip, Clock::now());
    if (ip == this->currentEntry)
        this->currentEntry.clear();
    this->handlers.onEntryLost(ip + ": " + reason);
    this->scheduleRequest(failurePause);
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

void SummaryWatch::setUrgent(bool isHurried)
{
    this->state->isUrgent = isHurried;
}

const std::string& SummaryWatch::currentEntry() const
{
    return this->state->currentEntry;
}

} // namespace bilberry
