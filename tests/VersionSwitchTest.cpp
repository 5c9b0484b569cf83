/// Tests the times at which engines switch to a named version.
#define BOOST_TEST_MODULE VersionSwitch
#include <boost/test/unit_test.hpp>

#include "VersionSwitch.h"

#include <algorithm>
#include <rapidcheck.h>

using namespace bilberry;

static const BootTimePoint start { std::chrono::hours(1) };
static constexpr Milliseconds bound { 8000 };

// The engines of a data centre switch one after the other, evenly spread, and all early enough before the bound that requests
// which wait at the last engine begin in time. The order of the list of hosts doesn't matter.
BOOST_AUTO_TEST_CASE(enginesSwitchOneAfterTheOther)
{
    BOOST_TEST(rc::check([] {
        std::vector<std::string> hosts;
        int count = *rc::gen::inRange(1, 40);
        hosts.reserve(static_cast<size_t>(count));
        for (int i = 0; i < count; ++i)
            hosts.push_back("10.0.0." + std::to_string(i));
        auto reversed = hosts;
        std::reverse(reversed.begin(), reversed.end());
        std::vector<Milliseconds> times;
        for (const auto& host : hosts) {
            auto time = switchDelay(host, hosts, bound);
            RC_ASSERT(time == switchDelay(host, reversed, bound));
            RC_ASSERT(time > Milliseconds(0));
            RC_ASSERT(oldestAllowedVersion({ { 2, start } }, bound, start + time) == 0u);
            times.push_back(time);
        }
        std::sort(times.begin(), times.end());
        // At most a third of the engines plus one switch within any third of the time span.
        auto third = (times.back() - times.front()) / 3;
        for (const auto& from : times) {
            auto inThird = std::count_if(times.begin(), times.end(), [&](Milliseconds time) { return time >= from && time < from + third; });
            RC_ASSERT(inThird <= count / 3 + 1);
        }
    }));
}

BOOST_AUTO_TEST_CASE(withoutABoundEnginesSwitchAtOnce)
{
    BOOST_TEST((switchDelay("a", { "a", "b" }, Milliseconds(0)) == Milliseconds(0)));
    BOOST_TEST(oldestAllowedVersion({ { 2, start } }, Milliseconds(0), start + std::chrono::hours(1)) == 0u);
}

// A request that waits at an engine with superseded weights, or on the way to it, is taken back before the bound, with time for
// entries that learn of the version late. It could be sent before that, and has had time to begin.
BOOST_AUTO_TEST_CASE(requestsThatHaventBegunAreTakenBack)
{
    NamedVersions named { { 2, start }, { 3, start + Seconds(3) } };
    for (Milliseconds time { 0 }; time < bound; time += Milliseconds(10)) {
        bool maySend = oldestAllowedVersion(named, bound, start + time) < 2;
        if (maySend)
            BOOST_TEST((mustBeginBy(named, 1, bound) - (start + time) >= Milliseconds(500)));
    }
    BOOST_TEST((start + bound - mustBeginBy(named, 1, bound) >= Milliseconds(500)));
    BOOST_TEST((mustBeginBy(named, 2, bound) == mustBeginBy(named, 1, bound) + Seconds(3)));
    BOOST_TEST((mustBeginBy(named, 3, bound) == BootTimePoint::max()));
    BOOST_TEST((mustBeginBy(named, 1, Milliseconds(0)) == BootTimePoint::max()));
}

// An engine that serves older weights than its record says must be able to refuse; one that may still serve them must not.
BOOST_AUTO_TEST_CASE(onlyTheNewestNamedVersionIsRequired)
{
    NamedVersions named { { 2, start }, { 3, start + Seconds(3) } };
    BOOST_TEST(!versionToRequire({}, 1).has_value());
    BOOST_TEST(!versionToRequire(named, 1).has_value());
    BOOST_TEST(!versionToRequire(named, 2).has_value());
    BOOST_TEST(versionToRequire(named, 3).value_or(0) == 3u);
}

// A second version that is named shortly after the first doesn't extend the bound of the first.
BOOST_AUTO_TEST_CASE(eachNamedVersionHasABoundOfItsOwn)
{
    NamedVersions named { { 2, start }, { 3, start + Seconds(3) } };
    BOOST_TEST(oldestAllowedVersion(named, bound, start + Seconds(6)) == 0u);
    BOOST_TEST(oldestAllowedVersion(named, bound, start + Milliseconds(6700)) == 2u);
    BOOST_TEST(oldestAllowedVersion(named, bound, start + Seconds(11)) == 3u);
    BOOST_TEST((supersededAt(named, 1) == start));
    BOOST_TEST((supersededAt(named, 2) == start + Seconds(3)));
    BOOST_TEST((supersededAt(named, 3) == BootTimePoint::max()));
}
