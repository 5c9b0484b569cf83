#define BOOST_TEST_MODULE Belief
#include <boost/test/unit_test.hpp>

#include "Belief.h"
#include "PlatformDialect.h"

#include <fmt/format.h>
#include <rapidcheck.h>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };

const StoreDialect& dialect()
{
    return platformDialect().store;
}

StoreChange configuration(uint64_t version, uint64_t revision)
{
    return { std::string(dialect().configurationKey), false, fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version), revision };
}

StoreChange endpoint(const std::string& id, const std::string& state, uint64_t revision)
{
    auto value = fmt::format(R"({{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"{}","cold-remaining-ms":0,"seq-no":1}})", state);
    return { std::string(dialect().endpointPrefix) + id, false, value, revision };
}

StoreChange weights(uint32_t version, uint64_t revision)
{
    return { std::string(dialect().versionPrefix) + "m", false, fmt::format(R"({{"model":"m","version":{}}})", version), revision };
}

BeliefStep apply(Belief& belief, const StoreChange& change, TimePoint now = start)
{
    std::string fault;
    return applyChange(belief, dialect(), change, now, fault);
}

bool isUsable(const Belief& belief, const std::string& id, TimePoint now)
{
    auto found = belief.endpoints.rowById.find(id);
    return found != belief.endpoints.rowById.end() && belief.endpoints.rows[found->second].isListed && now < belief.endpoints.rows[found->second].listedUntil;
}

} // namespace

// Whatever order configurations come in, the one in force never goes back.
BOOST_AUTO_TEST_CASE(configurationsNeverGoBack)
{
    BOOST_TEST(rc::check([] {
        Belief belief;
        uint64_t highest = 0;
        for (int version : *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 30))) {
            apply(belief, configuration(static_cast<uint64_t>(version), 1));
            highest = std::max(highest, static_cast<uint64_t>(version));
            RC_ASSERT(belief.routes->generation == highest);
        }
    }));
}

BOOST_AUTO_TEST_CASE(unreadableItemsKeepTheLastGoodOnes)
{
    Belief belief;
    apply(belief, configuration(3, 1));
    apply(belief, endpoint("e", "ready", 2));
    apply(belief, weights(2, 3));
    const std::vector<std::string> values { "", "{", "[]", "null", "{}", R"({"version":"9"})", R"({"version":-1})", R"({"version":9,"routes":[{"prefix":"x"}]})",
        R"({"service":"s","address":"nowhere","zone":"z","slots":4,"state":"ready"})", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"4","state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"sleeping"})", "\xff\xfe" };
    for (const auto& value : values) {
        std::string fault;
        Belief before = belief;
        auto step = applyChange(before, dialect(), { std::string(dialect().configurationKey), false, value, 9 }, start, fault);
        BOOST_TEST((step == BeliefStep::Unreadable));
        BOOST_TEST(!fault.empty());
        BOOST_TEST(before.routes->generation == 3u);
        step = applyChange(before, dialect(), { std::string(dialect().versionPrefix) + "m", false, value, 9 }, start, fault);
        BOOST_TEST((step == BeliefStep::Unreadable || before.versions["m"].size() == 2u));
        // An entry of an endpoint that can't be read names nobody to use; others stay.
        step = applyChange(before, dialect(), { std::string(dialect().endpointPrefix) + "other", false, value, 9 }, start, fault);
        BOOST_TEST((step == BeliefStep::Unreadable));
        BOOST_TEST(isUsable(before, "e", start));
    }
    BOOST_TEST((apply(belief, { "unknown/key", false, "{", 9 }) == BeliefStep::None));
}

BOOST_AUTO_TEST_CASE(endpointsComeDrainAndGo)
{
    Belief belief;
    BOOST_TEST((apply(belief, endpoint("e", "ready", 1)) == BeliefStep::EndpointListed));
    BOOST_TEST((apply(belief, endpoint("e", "ready", 2)) == BeliefStep::None));
    BOOST_TEST((apply(belief, endpoint("e", "draining", 3)) == BeliefStep::EndpointDraining));
    BOOST_TEST((apply(belief, { std::string(dialect().endpointPrefix) + "e", true, {}, 4 }) == BeliefStep::EndpointRemoved));
    BOOST_TEST(!isUsable(belief, "e", start));
    BOOST_TEST((apply(belief, { std::string(dialect().endpointPrefix) + "x", true, {}, 5 }) == BeliefStep::None));
}

// Entries that lapsed while the store was away come back within two seconds; after that a missing one is gone.
BOOST_AUTO_TEST_CASE(entriesThatLapseInAnOutageHaveTimeToComeBack)
{
    Belief belief;
    apply(belief, endpoint("e", "ready", 1));
    apply(belief, endpoint("f", "ready", 2));
    belief.outageEndedAt = start;
    auto now = start + Milliseconds(300);
    applyAbsences(belief, dialect(), { endpoint("f", "ready", 2) }, now);
    BOOST_TEST(isUsable(belief, "e", now));
    BOOST_TEST(isUsable(belief, "f", now));
    BOOST_TEST(!isUsable(belief, "e", start + Milliseconds(2000)));
    apply(belief, endpoint("e", "ready", 3), now);
    BOOST_TEST(isUsable(belief, "e", start + Milliseconds(2500)));
}

BOOST_AUTO_TEST_CASE(dataCentresGoOutAndComeBack)
{
    Belief belief;
    StoreChange out { "op/evacuate/z", false, "{}", 1 };
    BOOST_TEST((apply(belief, out) == BeliefStep::DataCentreOut));
    BOOST_TEST((apply(belief, out) == BeliefStep::None));
    BOOST_TEST(belief.dataCentresOut.count("z") == 1u);
    applyAbsences(belief, dialect(), {}, start);
    BOOST_TEST(belief.dataCentresOut.empty());
    apply(belief, out);
    out.isRemoved = true;
    BOOST_TEST((apply(belief, out) == BeliefStep::DataCentreBack));
}

BOOST_AUTO_TEST_CASE(namedVersionsOnlyGrow)
{
    Belief belief;
    BOOST_TEST((apply(belief, weights(2, 1)) == BeliefStep::WeightVersion));
    BOOST_TEST((apply(belief, weights(2, 2)) == BeliefStep::None));
    BOOST_TEST((apply(belief, weights(1, 3)) == BeliefStep::None));
    BOOST_TEST((apply(belief, weights(4, 4), start + Seconds(1)) == BeliefStep::WeightVersion));
    BOOST_TEST(belief.versions["m"].size() == 2u);
    // What a process reads when it starts may have been named some time before.
    Belief fresh;
    fresh.namedBefore = Seconds(5);
    apply(fresh, weights(2, 1));
    BOOST_TEST((fresh.versions["m"][2] == start - Seconds(5)));
}

BOOST_AUTO_TEST_CASE(ageCountsFromTheSendingOfTheCall)
{
    Belief belief;
    BootTimePoint now { std::chrono::hours(2) };
    BOOST_TEST((ageOf(belief, now) == Milliseconds::max()));
    belief.isConfirmed = true;
    belief.confirmedAt = now - Milliseconds(1300);
    BOOST_TEST((ageOf(belief, now) == Milliseconds(1300)));
}
