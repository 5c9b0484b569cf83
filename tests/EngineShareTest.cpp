#define BOOST_TEST_MODULE EngineShare
#include <boost/test/unit_test.hpp>

#include "EngineShare.h"
#include "FleetModel.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace bilberry;

namespace {

constexpr uint32_t slots = 12;

std::vector<std::string> names(const std::string& prefix, size_t count)
{
    std::vector<std::string> all;
    for (size_t i = 0; i < count; ++i)
        all.push_back(prefix + std::to_string(i));
    return all;
}

std::vector<std::string> without(std::vector<std::string> names, const std::string& name)
{
    names.erase(std::remove(names.begin(), names.end(), name), names.end());
    return names;
}

FleetModelSettings overloadedFleet(uint64_t seed = 1)
{
    FleetModelSettings settings;
    settings.requestsPerSecond = 260;
    settings.seed = seed;
    return settings;
}

/// Sum of the results of several runs that differ only by their seed.
struct Comparison {
    double requests = 0;
    double onTime = 0;
    double refused = 0;
    double sent = 0;
    double overLimit = 0;
    double firstEvents = 0;
    double statedOverLimit = 0;
    double usedShare = 0;
};

Comparison runAll(FleetModelSettings settings, bool sharesEngines)
{
    static constexpr uint64_t runs = 4;
    Comparison sum;
    settings.sharesEngines = sharesEngines;
    for (uint64_t seed = 1; seed <= runs; ++seed) {
        settings.seed = seed;
        auto result = FleetModel(settings).run();
        sum.requests += result.requestCount;
        sum.onTime += result.onTimeCount;
        sum.refused += result.refusedCount;
        sum.sent += result.sentCount;
        sum.overLimit += result.overLimitCount;
        sum.firstEvents += result.firstEventCount;
        sum.statedOverLimit += result.statedOverLimitCount;
        sum.usedShare += result.usedShare / runs;
    }
    return sum;
}

void print(const std::string& load, const char* choice, const Comparison& sum)
{
    std::cout << load << ", " << choice << ": on time " << sum.onTime / sum.requests << ", refused " << sum.refused / sum.requests << ", sent without a free slot " << sum.overLimit / sum.sent
              << ", stated over the limit " << sum.statedOverLimit / sum.firstEvents << ", slots used " << sum.usedShare << "\n";
}

uint32_t mostAtAnyEngine(const FleetModel& fleet, size_t engineCount)
{
    uint32_t most = 0;
    for (size_t engine = 0; engine < engineCount; ++engine)
        most = std::max(most, fleet.requestsAt(engine));
    return most;
}

void cutHalves(FleetModel& fleet, bool isCut)
{
    size_t count = fleet.isCut.size();
    for (size_t i = 0; i < count; ++i) {
        for (size_t k = 0; k < count; ++k)
            fleet.isCut[i][k] = static_cast<char>(isCut && (i < count / 2) != (k < count / 2));
    }
}

} // namespace

// Each engine has one home among the entries, which all entries agree on, and the numbers of engines differ by one at most. The
// positions at an engine are all different.
BOOST_AUTO_TEST_CASE(enginesHaveOneHomeEach)
{
    BOOST_TEST(rc::check([] {
        auto entries = names("10.0.0.", *rc::gen::inRange<size_t>(1, 30));
        auto engines = names("engine-", *rc::gen::inRange<size_t>(0, 60));
        std::map<std::string, size_t> homes;
        std::vector<std::set<uint32_t>> positions(engines.size());
        for (const auto& own : entries) {
            auto shuffled = entries;
            std::rotate(shuffled.begin(), shuffled.begin() + *rc::gen::inRange<long>(0, static_cast<long>(entries.size())), shuffled.end());
            auto order = engineOrder(own, shuffled, engines);
            for (size_t i = 0; i < engines.size(); ++i) {
                positions[i].insert(order[i].position);
                RC_ASSERT((order[i].position == 0) == (order[i].homeEntry == own));
                homes[own] += order[i].position == 0 ? 1 : 0;
            }
        }
        for (const auto& [entry, count] : homes)
            RC_ASSERT(count >= engines.size() / entries.size() && count <= (engines.size() + entries.size() - 1) / entries.size());
        for (const auto& engine : positions)
            RC_ASSERT(engine.size() == entries.size() && *engine.rbegin() == entries.size() - 1);
    }));
}

// When an entry is lost, most engines keep their home.
BOOST_AUTO_TEST_CASE(mostEnginesKeepTheirHome)
{
    auto entries = names("10.0.0.", 6);
    auto engines = names("engine-", 60);
    auto before = engineOrder(entries[0], entries, engines);
    auto after = engineOrder(entries[0], without(entries, entries[3]), engines);
    int moved = 0;
    for (size_t i = 0; i < engines.size(); ++i)
        moved += before[i].homeEntry != entries[3] && before[i].homeEntry != after[i].homeEntry ? 1 : 0;
    BOOST_TEST(moved <= 15);
}

// Each row states one part in an engine of 12 slots with 8 to 12 requests, and whether one more may be sent.
BOOST_AUTO_TEST_CASE(whoMaySendOneMore)
{
    struct Row {
        const char* name;
        uint32_t position;
        uint32_t told;
        Milliseconds roomTime; ///< How long the engine has had room.
        EngineUse use;
        bool isAllowed;
    };
    const TimePoint now { std::chrono::hours(1) };
    const std::vector<Row> rows {
        { "home with room", 0, 3, Milliseconds(0), { 12, 9, 6, true, now }, true },
        { "home has not told of one of the first slots", 0, 5, Milliseconds(0), { 12, 10, 7, true, now }, true },
        { "home takes the last slot", 0, 6, Milliseconds(0), { 12, 11, 6, true, now }, true },
        { "home leaves the last slot until it has told", 0, 6, Milliseconds(0), { 12, 11, 7, true, now }, false },
        { "home at the limit", 0, 7, Milliseconds(0), { 12, 12, 6, true, now }, false },
        { "first guest leaves one slot", 1, 2, Milliseconds(0), { 12, 10, 2, true, now }, true },
        { "first guest leaves the last slot", 1, 2, Milliseconds(0), { 12, 11, 2, true, now }, false },
        { "guest that hasn't told", 1, 2, Milliseconds(0), { 12, 5, 3, true, now }, false },
        { "third guest", 3, 2, Milliseconds(0), { 12, 9, 2, true, now }, false },
        { "third guest where there has been room for a while", 3, 2, Seconds(1), { 12, 10, 2, true, now }, true },
        { "guest replaces a request that ended", 3, 3, Milliseconds(0), { 12, 11, 2, true, now }, true },
        { "guest replaces none beyond the limit", 3, 3, Milliseconds(0), { 12, 12, 2, true, now }, false },
        { "another data centre", remotePosition, 0, Milliseconds(0), { 12, 10, 0, true, now }, true },
        { "another data centre leaves the last slot", remotePosition, 0, Milliseconds(0), { 12, 11, 0, true, now }, false },
    };
    for (const auto& row : rows) {
        EngineShare share;
        share.position = row.position;
        share.roomSince = now - row.roomTime;
        share.guestCount = 4;
        share.toldInFlight = row.told;
        BOOST_TEST_CONTEXT(row.name) { BOOST_TEST(isWithinEngineShare(share, row.use) == row.isAllowed); }
    }
    // An engine whose home isn't heard is used up to half of its limit unless it states its load.
    EngineShare takenOver;
    takenOver.position = 0;
    takenOver.isTakenOver = true;
    takenOver.toldInFlight = 6;
    BOOST_TEST(isWithinEngineShare(takenOver, { 12, 6, 6, true, now }));
    BOOST_TEST(!isWithinEngineShare(takenOver, { 12, 6, 6, false, now }));
    // Until the others know of a new home, it is a guest.
    EngineShare newHome;
    newHome.position = 0;
    newHome.guestCount = 4;
    newHome.homeSince = now;
    BOOST_TEST(isWithinEngineShare(newHome, { 12, 10, 0, true, now }));
    BOOST_TEST(!isWithinEngineShare(newHome, { 12, 11, 0, true, now }));
    BOOST_TEST(!isWithinEngineShare(newHome, { 12, 2, 1, true, now }));
    BOOST_TEST(isWithinEngineShare(newHome, { 12, 11, 0, true, now + Seconds(1) }));
}

// Load: callers of several entries send in the same milliseconds, at fewer and at more requests than the engines can carry, with
// even and uneven demand. Without parts, a fifth to a half of the requests reach an engine without a free slot.
BOOST_AUTO_TEST_CASE(simultaneousSendersStayWithinTheLimit)
{
    for (double rate : { 180.0, 220.0, 260.0 }) {
        for (const auto& demand : { std::vector<double> { 1, 1, 1, 1, 1 }, std::vector<double> { 4, 1, 1, 1, 1 } }) {
            for (uint32_t burst : { 0U, 10U }) {
                FleetModelSettings settings;
                settings.requestsPerSecond = rate - 5 * burst;
                settings.demand = demand;
                settings.burstEvery = burst == 0 ? 0 : 1000;
                settings.burstRequests = burst;
                auto today = runAll(settings, false);
                auto shared = runAll(settings, true);
                auto load = std::to_string(static_cast<int>(rate)) + " requests/s, " + (demand[0] > 1 ? "uneven" : "even") + (burst == 0 ? "" : " in bursts");
                print(load, "all free capacity", today);
                print(load, "own part", shared);
                BOOST_TEST_CONTEXT(load)
                {
                    BOOST_TEST(shared.overLimit / shared.sent < (burst == 0 ? 0.03 : 0.07));
                    BOOST_TEST(shared.overLimit / shared.sent < 0.25 * today.overLimit / today.sent);
                    BOOST_TEST(shared.onTime / shared.requests > today.onTime / today.requests);
                    bool isOverloaded = rate > 200;
                    BOOST_TEST((!isOverloaded || shared.usedShare > today.usedShare - 0.02));
                }
            }
        }
    }
}

// Failure: a tenth of the reports between entries is lost under overload.
BOOST_AUTO_TEST_CASE(lostReportsChangeLittle)
{
    auto settings = overloadedFleet();
    settings.lostShare = 0.1;
    auto today = runAll(settings, false);
    auto shared = runAll(settings, true);
    print("a tenth of the reports lost", "own part", shared);
    BOOST_TEST(shared.overLimit / shared.sent < 0.03);
    BOOST_TEST(shared.onTime / shared.requests > today.onTime / today.requests);
}

// Load: all requests come to one of five entries. The others leave nearly all of their engines to it.
BOOST_AUTO_TEST_CASE(guestsUseWhatHomesLeaveFree)
{
    auto settings = overloadedFleet();
    settings.demand = { 1, 0, 0, 0, 0 };
    auto shared = runAll(settings, true);
    print("one entry has all requests", "own part", shared);
    BOOST_TEST(shared.usedShare > 0.86);
    BOOST_TEST(shared.overLimit == 0);
}

// At any number of entries and engines, load, and time between reports, all entries together have at most two requests per guest
// beyond the limit at an engine: one that a guest hasn't told of, and one that it has told of and that is on its way.
BOOST_AUTO_TEST_CASE(allEntriesTogetherStayWithinTheBound)
{
    BOOST_TEST(rc::check([] {
        FleetModelSettings settings;
        settings.entryCount = *rc::gen::inRange<uint32_t>(1, 8);
        settings.engineCount = *rc::gen::inRange<uint32_t>(1, 16);
        settings.requestsPerSecond = settings.engineCount * *rc::gen::inRange(5, 30);
        settings.reportInterval = *rc::gen::inRange(40, 200);
        settings.longestDelay = *rc::gen::inRange(1, 35);
        settings.burstEvery = *rc::gen::element(0, 500);
        settings.burstRequests = *rc::gen::inRange<uint32_t>(1, 20);
        settings.statesLoad = *rc::gen::arbitrary<bool>();
        settings.seed = *rc::gen::arbitrary<uint64_t>();
        settings.duration = 2500;
        for (uint32_t i = 0; i < settings.entryCount; ++i)
            settings.demand.push_back(*rc::gen::inRange(1, 5));
        bool isAfterStart = false;
        uint32_t most = 0;
        FleetModel(settings).run([&](FleetModel& fleet, double now) {
            // Before the first reports, each entry believes that it is alone.
            isAfterStart = now > 2 * settings.reportInterval + settings.longestDelay + 800;
            most = isAfterStart ? std::max(most, mostAtAnyEngine(fleet, settings.engineCount)) : 0;
        });
        RC_ASSERT(most <= slots + 2 * (settings.entryCount - 1));
    }));
}

// Failure: an entry is lost under overload, and its callers come back to the others. 2 s later the engines that it was home to are
// as full as the others. Its requests go on there meanwhile.
BOOST_AUTO_TEST_CASE(lostEntrysPartIsUsedAgain)
{
    for (bool statesLoad : { true, false }) {
        auto settings = overloadedFleet(3);
        settings.statesLoad = statesLoad;
        settings.duration = 9000;
        std::vector<size_t> lostEngines;
        double present = 0;
        double counted = 0;
        uint32_t most = 0;
        FleetModel(settings).run([&](FleetModel& fleet, double now) {
            if (now == 4000) {
                for (size_t engine = 0; engine < settings.engineCount; ++engine) {
                    if (fleet.isHome(1, engine))
                        lostEngines.push_back(engine);
                }
                fleet.isLost[1] = true;
            }
            for (size_t engine : lostEngines) {
                most = std::max(most, fleet.requestsAt(engine));
                present += now >= 6000 ? std::min(fleet.requestsAt(engine), slots) : 0;
                counted += now >= 6000 ? slots : 0;
            }
        });
        std::cout << "lost entry, " << (statesLoad ? "load stated" : "load not stated") << ": used from 2 s on " << present / counted << ", most at an engine " << most << "\n";
        BOOST_TEST(lostEngines.size() >= 3u);
        BOOST_TEST(present / counted > (statesLoad ? 0.85 : 0.4));
        BOOST_TEST(most <= slots + 2 * (settings.entryCount - 1));
    }
}

namespace {

/// Requests at an engine while the entries are cut into halves.
struct CutResult {
    double mean = 0;
    uint32_t most = 0;
};

CutResult runCutHalves(FleetModelSettings settings, bool sharesEngines)
{
    settings.sharesEngines = sharesEngines;
    CutResult result;
    double count = 0;
    FleetModel(settings).run([&](FleetModel& fleet, double now) {
        cutHalves(fleet, now >= 3000 && now < 7000);
        result.most = now >= 3000 ? std::max(result.most, mostAtAnyEngine(fleet, settings.engineCount)) : 0;
        for (size_t engine = 0; engine < settings.engineCount && now >= 5000 && now < 7000; ++engine) {
            result.mean += fleet.requestsAt(engine);
            count += 1;
        }
    });
    result.mean /= count;
    return result;
}

} // namespace

// Failure: two halves of the entries don't hear each other for 4 s under overload. Each half has a home for each engine; at no
// engine the parts double. Where engines state their load, the sum settles a quarter above the limit at most; where they don't, the
// half without the home of before takes half of the limit.
BOOST_AUTO_TEST_CASE(partitionDoesNotDoubleTheParts)
{
    for (bool statesLoad : { true, false }) {
        for (uint64_t seed = 1; seed <= 5; ++seed) {
            auto settings = overloadedFleet(seed);
            settings.entryCount = 6;
            settings.statesLoad = statesLoad;
            auto today = runCutHalves(settings, false);
            auto shared = runCutHalves(settings, true);
            std::cout << "halves cut, " << (statesLoad ? "load stated" : "load not stated") << ": mean at an engine " << shared.mean << ", most " << shared.most << "; with all free capacity " << today.mean << ", " << today.most << "\n";
            BOOST_TEST(shared.most < 2 * slots);
            BOOST_TEST(shared.most < today.most);
            BOOST_TEST(shared.mean < today.mean);
            BOOST_TEST(shared.mean <= (statesLoad ? 1.3 : 1.5) * slots);
        }
    }
}

// Failure: an entry is paused for 5 s under overload and goes on. It doesn't know then what the others have sent meanwhile.
BOOST_AUTO_TEST_CASE(pausedEntryComesBack)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        auto settings = overloadedFleet(seed);
        uint32_t most = 0;
        FleetModel(settings).run([&](FleetModel& fleet, double now) {
            fleet.isPaused[2] = static_cast<char>(now >= 2500 && now < 7500);
            most = now >= 1000 ? std::max(most, mostAtAnyEngine(fleet, settings.engineCount)) : 0;
        });
        std::cout << "paused entry: most at an engine " << most << "\n";
        BOOST_TEST(most <= slots + 2 * (settings.entryCount - 1));
    }
}
