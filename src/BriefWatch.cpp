#include "BriefWatch.h"

#include "HttpCall.h"

#include <fmt/format.h>

namespace bilberry {

// Time beyond that of holding in which the answer must come.
static constexpr Milliseconds answerSlack { 800 };
// Pause between briefs that are wanted soon, and after a failure.
static constexpr Milliseconds hurriedPause { 500 };
static constexpr Milliseconds failurePause { 50 };
// An entry whose knowledge is older than that is left for another one.
static constexpr Milliseconds tolerableAge { 3000 };

struct BriefWatch::State : std::enable_shared_from_this<BriefWatch::State> {
    State(EventLoop& loop, const BriefWatchSettings& settings, BriefWatchHandlers handlers)
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

    void ask();
    void takeAnswer(const std::string& ip, const CallResult&);
    void takeBrief(const std::string& ip, const ServiceBrief&);
    void fail(const std::string& ip, const std::string& reason);
    void askAfter(Milliseconds pause);

    BriefWatchSettings settings;
    BriefWatchHandlers handlers;
    HttpCaller caller;
    LoopTimer timer;
    EntryDirectory directory;
    std::string entry;
    bool isStopped = false;
    bool isHurried = true; ///< The first brief is wanted at once.
    bool hasBrief = false;
    uint32_t newest = 0; ///< Version named last, as known here.
};

void BriefWatch::State::askAfter(Milliseconds pause)
{
    this->timer.expires_after(pause);
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& error) {
        if (hasFired(self->timer, error) && !self->isStopped)
            self->ask();
    });
}

void BriefWatch::State::ask()
{
    auto ip = chooseEntry(this->directory, Clock::now());
    if (ip.empty())
        return;
    bool mayBeHeld = this->hasBrief && !this->isHurried;
    auto timeout = answerSlack + (mayBeHeld ? briefHoldTime : Milliseconds(0));
    this->caller.setAddress({ ip, this->settings.port });
    auto path = fmt::format("{}{}/{}/{}", briefPrefix, this->newest, mayBeHeld ? 0 : 1, this->settings.service);
    this->caller.get(path, timeout, [weak = this->weak_from_this(), ip](const CallResult& result) {
        if (auto self = weak.lock())
            self->takeAnswer(ip, result);
    });
}

void BriefWatch::State::takeAnswer(const std::string& ip, const CallResult& result)
{
    if (result.status != 200) {
        this->fail(ip, result.describe());
        return;
    }
    auto brief = decodeBrief(result.body);
    if (brief.ok())
        this->takeBrief(ip, *brief);
    else
        this->fail(ip, std::string(brief.status().message()));
}

void BriefWatch::State::takeBrief(const std::string& ip, const ServiceBrief& brief)
{
    this->directory.noteAnswer(ip, brief.dataCentre);
    for (const auto& other : brief.entries)
        this->directory.add(other, brief.dataCentre);
    if (brief.age > tolerableAge)
        this->directory.noteFailure(ip, Clock::now());
    this->entry = ip;
    this->hasBrief = true;
    this->newest = std::max(this->newest, newestNamed(brief));
    this->handlers.onBrief(brief);
    this->askAfter(this->isHurried || brief.age > tolerableAge ? hurriedPause : Milliseconds(0));
}

void BriefWatch::State::fail(const std::string& ip, const std::string& reason)
{
    this->directory.noteFailure(ip, Clock::now());
    if (ip == this->entry)
        this->entry.clear();
    this->handlers.onLost(ip + ": " + reason);
    this->askAfter(failurePause);
}

BriefWatch::BriefWatch(EventLoop& loop, const BriefWatchSettings& settings, BriefWatchHandlers handlers)
    : state(std::make_shared<State>(loop, settings, std::move(handlers)))
{
}

BriefWatch::~BriefWatch()
{
    this->state->isStopped = true;
    stopTimer(this->state->timer);
    this->state->caller.close();
}

void BriefWatch::start()
{
    this->state->ask();
}

void BriefWatch::hurry(bool isHurried)
{
    this->state->isHurried = isHurried;
}

const std::string& BriefWatch::entry() const
{
    return this->state->entry;
}

} // namespace bilberry
