#define BOOST_TEST_MODULE Belief
#include <boost/test/unit_test.hpp>

#include "ClusterView.h"
#include "PlatformDialect.h"

#include <fmt/format.h>
#include <rapidcheck.h>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };

const StoreAdapter& storeAdapter()
{
    return platformDialect().store;
}

StoreChange configurationChange(uint64_t version, uint64_t revision)
{
    return { std::string(storeAdapter().configurationKey), false, fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version), revision };
}

StoreChange endpointChange(const std::string& id, const std::string& state, uint64_t revision)
{
    auto value = fmt::format(R"({{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"{}","cold-remaining-ms":0,"seq-no":1}})", state);
    return { std::string(storeAdapter().endpointPrefix) + id, false, value, revision };
}

StoreChange weightVersionChange(uint32_t version, uint64_t revision)
{
    return { std::string(storeAdapter().versionPrefix) + "m", false, fmt::format(R"({{"model":"m","version":{}}})", version), revision };
}

ClusterViewChange applyToView(ClusterView& belief, const StoreChange& change, TimePoint now = start)
{
    std::string fault;
    return applyStoreChange(belief, storeAdapter(), change, now, fault);
}

bool isUsable(const ClusterView& belief, const std::string& id, TimePoint now)
{
    auto found = belief.endpoints.rowById.find(id);
    return found != belief.endpoints.rowById.end() && belief.endpoints.rows[found->second].isListed && now < belief.endpoints.rows[found->second].listedUntil;
}

} // namespace

// Whatever order configurations come in, the one in force never goes back.
BOOST_AUTO_TEST_CASE(configurationsNeverGoBack)
{
    BOOST_TEST(rc::check([] {
        ClusterView belief;
        uint64_t highest = 0;
        for (int version : *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 30))) {
            applyToView(belief, configurationChange(static_cast<uint64_t>(version), 1));
            highest = std::max(highest, static_cast<uint64_t>(version));
            RC_ASSERT(belief.routes->generation == highest);
        }
    }));
}

BOOST_AUTO_TEST_CASE(unreadableItemsKeepTheLastGoodOnes)
{
    ClusterView belief;
    applyToView(belief, configurationChange(3, 1));
    applyToView(belief, endpointChange("e", "ready", 2));
    applyToView(belief, weightVersionChange(2, 3));
    const std::vector<std::string> values { "", "{", "[]", "null", "{}", R"({"version":"9"})", R"({"version":-1})", R"({"version":9,"routes":[{"prefix":"x"}]})",
        R"({"service":"s","address":"nowhere","zone":"z","slots":4,"state":"ready"})", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"4","state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"sleeping"})", "\xff\xfe" };
    for (const auto& value : values) {
        std::string fault;
        ClusterView before = belief;
        auto step = applyStoreChange(before, storeAdapter(), { std::string(storeAdapter().configurationKey), false, value, 9 }, start, fault);
        BOOST_TEST((step == ClusterViewChange::Unreadable));
        BOOST_TEST(!fault.empty());
        BOOST_TEST(before.routes->generation == 3u);
        step = applyStoreChange(before, storeAdapter(), { std::string(storeAdapter().versionPrefix) + "m", false, value, 9 }, start, fault);
        BOOST_TEST((step == ClusterViewChange::Unreadable || before.namedVersions["m"].size() == 2u));
        // An entry of an endpoint that can't be read names nobody to use; others stay.
        step = applyStoreChange(before, storeAdapter(), { std::string(storeAdapter().endpointPrefix) + "other", false, value, 9 }, start, fault);
        BOOST_TEST((step == ClusterViewChange::Unreadable));
        BOOST_TEST(isUsable(before, "e", start));
    }
    BOOST_TEST((applyToView(belief, { "unknown/key", false, "{", 9 }) == ClusterViewChange::None));
}

BOOST_AUTO_TEST_CASE(endpointsComeDrainAndGo)
{
    ClusterView belief;
    BOOST_TEST((applyToView(belief, endpointChange("e", "ready", 1)) == ClusterViewChange::EndpointListed));
    BOOST_TEST((applyToView(belief, endpointChange("e", "ready", 2)) == ClusterViewChange::None));
    BOOST_TEST((applyToView(belief, endpointChange("e", "draining", 3)) == ClusterViewChange::EndpointDraining));
    BOOST_TEST((applyToView(belief, { std::string(storeAdapter().endpointPrefix) + "e", true, {}, 4 }) == ClusterViewChange::EndpointRemoved));
    BOOST_TEST(!isUsable(belief, "e", start));
    BOOST_TEST((applyToView(belief, { std::string(storeAdapter().endpointPrefix) + "x", true, {}, 5 }) == ClusterViewChange::None));
}

// Entries that lapsed while the store was away come back within two seconds; after that a missing one is gone.
BOOST_AUTO_TEST_CASE(entriesThatLapseInAnOutageHaveTimeToComeBack)
{
    ClusterView belief;
    applyToView(belief, endpointChange("e", "ready", 1));
    applyToView(belief, endpointChange("f", "ready", 2));
    belief.outageEndedAt = start;
    auto now = start + Milliseconds(300);
    removeUnlistedItems(belief, storeAdapter(), { endpointChange("f", "ready", 2) }, now);
    BOOST_TEST(isUsable(belief, "e", now));
    BOOST_TEST(isUsable(belief, "f", now));
    BOOST_TEST(!isUsable(belief, "e", start + Milliseconds(2000)));
    applyToView(belief, endpointChange("e", "ready", 3), now);
    BOOST_TEST(isUsable(belief, "e", start + Milliseconds(2500)));
}

BOOST_AUTO_TEST_CASE(dataCentresGoOutAndComeBack)
{
    ClusterView belief;
    StoreChange out { "op/evacuate/z", false, "{}", 1 };
    BOOST_TEST((applyToView(belief, out) == ClusterViewChange::DataCentreEvacuated));
    BOOST_TEST((applyToView(belief, out) == ClusterViewChange::None));
    BOOST_TEST(belief.evacuatedDataCentres.count("z") == 1u);
    removeUnlistedItems(belief, storeAdapter(), {}, start);
    BOOST_TEST(belief.evacuatedDataCentres.empty());
    applyToView(belief, out);
    out.isRemoved = true;
    BOOST_TEST((applyToView(belief, out) == ClusterViewChange::DataCentreRestored));
}

BOOST_AUTO_TEST_CASE(namedVersionsOnlyGrow)
{
    ClusterView belief;
    BOOST_TEST((applyToView(belief, weightVersionChange(2, 1)) == ClusterViewChange::WeightVersion));
    BOOST_TEST((applyToView(belief, weightVersionChange(2, 2)) == ClusterViewChange::None));
    BOOST_TEST((applyToView(belief, weightVersionChange(1, 3)) == ClusterViewChange::None));
    BOOST_TEST((applyToView(belief, weightVersionChange(4, 4), start + Seconds(1)) == ClusterViewChange::WeightVersion));
    BOOST_TEST(belief.namedVersions["m"].size() == 2u);
    // What a process reads when it starts may have been named some time before.
    ClusterView fresh;
    fresh.namingTimeOffset = Seconds(5);
    applyToView(fresh, weightVersionChange(2, 1));
    BOOST_TEST((fresh.namedVersions["m"][2] == start - Seconds(5)));
}

BOOST_AUTO_TEST_CASE(ageCountsFromTheSendingOfTheCall)
{
    ClusterView belief;
    BootTimePoint now { std::chrono::hours(2) };
    BOOST_TEST((ageOf(belief, now) == Milliseconds::max()));
    belief.isConfirmed = true;
    belief.confirmedAt = now - Milliseconds(1300);
    BOOST_TEST((ageOf(belief, now) == Milliseconds(1300)));
}
