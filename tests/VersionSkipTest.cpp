/// Plays two versions that are named in quick succession to agents that learn of the names, the manifests and the pieces in any
/// order, and checks what callers get: no engine is away for a version on which no request may begin any more, and all end with the
/// newest. The load it answers is one that needs all engines while the origin of weights is slow or away.
#define BOOST_TEST_MODULE VersionSkip
#include <boost/test/unit_test.hpp>

#include "VersionSwitch.h"

#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <rapidcheck.h>

using namespace bilberry;

namespace {

const BootTimePoint start { std::chrono::hours(1) };
constexpr Milliseconds bound { 9700 };
constexpr Milliseconds loadTime { 800 };
constexpr Milliseconds step { 50 };
constexpr Milliseconds end { 90000 };
constexpr Milliseconds never { 1000000 };
constexpr size_t pieces = 48;
constexpr size_t pieceBytes = 49152;
constexpr double linkBytesPerSecond = 1.175e6;
constexpr uint32_t older = 2;
constexpr uint32_t newest = 3;

/// When an agent learns of one version, and when it can have its weights. All times count from the start of the play.
struct VersionEvents {
    Milliseconds namedAt { 0 };
    Milliseconds nameHeardAt { never }; ///< From an entry, with the time of naming.
    Milliseconds askedByPeerAt { never }; ///< A peer asks for it, which tells no time.
    Milliseconds manifestAt { 0 }; ///< From then on its manifest can be had.
    double piecesPerSecond = 20;
};

struct AgentPlay {
    uint32_t heldAtStart = 1;
    Milliseconds ownDelay { 0 }; ///< Time from a naming until this engine is to switch.
    std::array<VersionEvents, newest + 1> events;
};

/// Decides whether an agent goes on with an older version.
using Policy = std::function<bool(const NamedVersions&, const OlderVersion&, BootTimePoint)>;

struct PlayResult {
    uint32_t heldAtEnd = 0;
    Milliseconds idle { 0 }; ///< Time in which requests could begin on no version of the engine.
    bool hasUselessOrder = false; ///< Whether it ordered a version that it knew to be superseded and that served no request.
};

/// An agent with its engine, without a network.
struct PlayedAgent {
    explicit PlayedAgent(const AgentPlay& play, Policy policy)
        : play(play)
        , policy(std::move(policy))
        , held(play.heldAtStart)
    {
    }

    uint32_t wanted() const { return std::max({ 1U, this->named.empty() ? 0U : this->named.rbegin()->first, this->heardFromPeers, this->held }); }
    bool isComplete() const { return this->staged >= static_cast<double>(pieces); }

    // Whether requests may really begin on the version at `now`, by the true times of naming.
    bool maySend(uint32_t version, Milliseconds now) const
    {
        return version != 0 && oldestAllowedVersion(this->trulyNamed(now), bound, start + now) <= version;
    }

    NamedVersions trulyNamed(Milliseconds now) const
    {
        NamedVersions truth;
        for (uint32_t version : { older, newest }) {
            if (this->play.events.at(version).namedAt <= now)
                truth.emplace(version, start + this->play.events.at(version).namedAt);
        }
        return truth;
    }

    OlderVersion describe(Milliseconds now) const
    {
        FetchProgress progress { std::min(pieces, static_cast<size_t>(this->staged)), pieces, pieceBytes, now - std::min(now, this->firstStagedAt), linkBytesPerSecond };
        OlderVersion result;
        result.version = this->manifest;
        result.newest = this->wanted();
        result.held = this->held;
        result.staged = progress.staged;
        result.total = pieces;
        result.timeToFetchRest = timeToFetch(progress, pieces - progress.staged);
        result.timeToFetchNewest = timeToFetch(progress, pieces);
        result.newestMissingFor = this->missingSince == never ? Milliseconds(0) : now - this->missingSince;
        result.loadTime = loadTime;
        return result;
    }

    void learn(Milliseconds now)
    {
        for (uint32_t version : { older, newest }) {
            const auto& events = this->play.events.at(version);
            if (now >= events.nameHeardAt)
                this->named.emplace(version, start + events.namedAt);
            if (now >= events.askedByPeerAt)
                this->heardFromPeers = std::max(this->heardFromPeers, version);
        }
    }

    void fetch(Milliseconds now)
    {
        uint32_t version = this->wanted();
        bool isOlder = this->manifest != 0 && this->manifest<version&& this->manifest> this->held;
        bool isFinishing = isOlder && this->policy(this->named, this->describe(now), start + now);
        if (this->held != version && this->manifest != version && !isFinishing) {
            bool canBeHad = version == 1 || now >= this->play.events.at(version).manifestAt;
            this->missingSince = canBeHad ? never : std::min(this->missingSince, now);
            if (canBeHad) {
                this->manifest = version;
                this->staged = 0;
                this->firstStagedAt = never;
                isOlder = false;
            }
        }
        bool isFetched = this->manifest > this->held && (!isOlder || shouldFetchOlderVersion(this->named, this->describe(now), bound, start + now));
        if (!isFetched)
            return;
        this->staged += this->play.events.at(this->manifest).piecesPerSecond * std::chrono::duration<double>(step).count();
        if (this->staged >= 1)
            this->firstStagedAt = std::min(this->firstStagedAt, now);
    }

    void order(Milliseconds now, PlayResult& result)
    {
        if (this->loading != 0 || this->manifest <= this->held || !this->isComplete())
            return;
        bool isOlder = this->manifest < this->wanted();
        if (isOlder && !this->policy(this->named, this->describe(now), start + now))
            return;
        auto supersession = supersededAt(this->named, this->held);
        bool isDue = isOlder || this->held == 0 || supersession == BootTimePoint::max() || start + now - supersession >= this->play.ownDelay;
        if (!isDue)
            return;
        this->loading = this->manifest;
        this->loadedAt = now + loadTime;
        result.hasUselessOrder = result.hasUselessOrder || (isOlder && !this->maySend(this->manifest, this->loadedAt));
    }

    PlayResult run()
    {
        PlayResult result;
        for (Milliseconds now { 0 }; now < end; now += step) {
            if (this->loading != 0 && now >= this->loadedAt) {
                this->held = this->loading;
                this->loading = 0;
            }
            this->learn(now);
            if (this->loading == 0 || this->manifest == this->loading)
                this->fetch(now);
            this->order(now, result);
            if (this->loading != 0 || !this->maySend(this->held, now))
                result.idle += step;
        }
        result.heldAtEnd = this->held;
        return result;
    }

    AgentPlay play;
    Policy policy;
    uint32_t held;
    NamedVersions named;
    uint32_t heardFromPeers = 0;
    uint32_t manifest = 0;
    double staged = 0;
    Milliseconds firstStagedAt { never };
    Milliseconds missingSince { never };
    uint32_t loading = 0;
    Milliseconds loadedAt { 0 };
};

bool decide(const NamedVersions& named, const OlderVersion& version, BootTimePoint now)
{
    return shouldFinishVersion(named, version, bound, now);
}

bool finishHalfStaged(const NamedVersions&, const OlderVersion& version, BootTimePoint)
{
    return 2 * version.staged >= version.total;
}

bool finishNone(const NamedVersions&, const OlderVersion&, BootTimePoint)
{
    return false;
}

/// Draws numbers, so that properties and sums over fixed seeds share the plays.
using Draw = std::function<int64_t(int64_t from, int64_t below)>;

Milliseconds drawTime(const Draw& draw, int64_t from, int64_t below)
{
    return Milliseconds(50 * draw(from / 50, below / 50));
}

AgentPlay drawPlay(const Draw& draw)
{
    AgentPlay play;
    play.heldAtStart = static_cast<uint32_t>(draw(0, 2));
    play.ownDelay = drawTime(draw, 3850, 7750);
    auto& second = play.events[older];
    auto& third = play.events[newest];
    third.namedAt = second.namedAt + drawTime(draw, 50, 8000);
    for (auto* events : { &second, &third }) {
        events->nameHeardAt = draw(0, 4) == 0 ? never : events->namedAt + drawTime(draw, 0, 10000);
        events->askedByPeerAt = draw(0, 2) == 0 ? never : events->namedAt + drawTime(draw, 0, 12000);
        events->manifestAt = events->namedAt + (draw(0, 4) == 0 ? drawTime(draw, 0, 30000) : Milliseconds(0));
        events->piecesPerSecond = static_cast<double>(draw(2, 25));
    }
    // Each agent hears of the newest version in the end.
    if (third.nameHeardAt == never && third.askedByPeerAt == never)
        third.askedByPeerAt = third.namedAt + drawTime(draw, 0, 12000);
    return play;
}

// Two versions named 2 s apart while entries can't read the store, which tell agents of the names 8.5 s after the first.
AgentPlay playOfTwoLateNames(Milliseconds secondHeardAt, Milliseconds thirdHeardAt)
{
    AgentPlay play;
    play.ownDelay = Milliseconds(6000);
    play.events[older].nameHeardAt = secondHeardAt;
    play.events[newest].namedAt = Seconds(2);
    play.events[newest].nameHeardAt = thirdHeardAt;
    return play;
}

} // namespace

BOOST_AUTO_TEST_CASE(noEngineIsAwayForAVersionThatCannotServe)
{
    BOOST_TEST(rc::check([] {
        auto play = drawPlay([](int64_t from, int64_t below) { return *rc::gen::inRange<int64_t>(from, below); });
        auto result = PlayedAgent(play, decide).run();
        RC_ASSERT(!result.hasUselessOrder);
        RC_ASSERT(result.heldAtEnd == newest);
    }));
}

// Whichever name comes first and however long it takes until the other one comes: the engine has the newest version as soon as if it
// had been the only one, but for what was fetched before it was known.
BOOST_AUTO_TEST_CASE(lateNamesDelayTheNewestVersionByNoLoad)
{
    for (Milliseconds gap { 0 }; gap < Milliseconds(2400); gap += step) {
        auto secondFirst = PlayedAgent(playOfTwoLateNames(Milliseconds(8500), Milliseconds(8500) + gap), decide).run();
        auto thirdFirst = PlayedAgent(playOfTwoLateNames(Milliseconds(8500) + gap, Milliseconds(8500)), decide).run();
        auto onlyThird = PlayedAgent(playOfTwoLateNames(never, Milliseconds(8500)), decide).run();
        BOOST_TEST(secondFirst.heldAtEnd == newest);
        BOOST_TEST((secondFirst.idle <= onlyThird.idle + gap));
        BOOST_TEST((thirdFirst.idle <= onlyThird.idle));
    }
}

// Today's course, and the one that never goes on with an older version, over the same plays.
BOOST_AUTO_TEST_CASE(enginesServeForLongerThanByOneFixedCourse)
{
    std::mt19937 random(7); // NOLINT(cert-msc32-c,cert-msc51-cpp): the plays are the same in each run.
    Draw draw = [&](int64_t from, int64_t below) { return std::uniform_int_distribution<int64_t>(from, below - 1)(random); };
    Milliseconds idle { 0 };
    Milliseconds idleIfHalfStagedFinish { 0 };
    Milliseconds idleIfNoneFinishes { 0 };
    for (int i = 0; i < 3000; ++i) {
        auto play = drawPlay(draw);
        auto result = PlayedAgent(play, decide).run();
        BOOST_REQUIRE((!result.hasUselessOrder && result.heldAtEnd == newest));
        idle += result.idle;
        idleIfHalfStagedFinish += PlayedAgent(play, finishHalfStaged).run().idle;
        idleIfNoneFinishes += PlayedAgent(play, finishNone).run().idle;
    }
    BOOST_TEST_MESSAGE("idle ms a play: " << idle.count() / 3000 << ", half staged " << idleIfHalfStagedFinish.count() / 3000 << ", none " << idleIfNoneFinishes.count() / 3000);
    BOOST_TEST((idle < idleIfHalfStagedFinish));
    BOOST_TEST((idle <= idleIfNoneFinishes));
}
