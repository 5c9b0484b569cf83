#define BOOST_TEST_MODULE VersionSwitch
#include <boost/test/unit_test.hpp>

#include "VersionSwitch.h"

#include <rapidcheck.h>
#include <set>

using namespace bilberry;

static const TimePoint start { std::chrono::hours(1) };
static constexpr Milliseconds bound { 8000 };

// Engines of a data centre leave in waves of about equal size, all before the bound; the order of the list doesn't matter.
BOOST_AUTO_TEST_CASE(enginesTurnInWaves)
{
    BOOST_TEST(rc::check([] {
        std::vector<std::string> hosts;
        int count = *rc::gen::inRange(1, 40);
        hosts.reserve(static_cast<size_t>(count));
        for (int i = 0; i < count; ++i)
            hosts.push_back("10.0.0." + std::to_string(i));
        auto shuffled = hosts;
        std::reverse(shuffled.begin(), shuffled.end());
        std::map<Milliseconds, int> waves;
        for (const auto& host : hosts) {
            auto time = switchTime(host, hosts, bound);
            RC_ASSERT(time == switchTime(host, shuffled, bound));
            RC_ASSERT(time > Milliseconds(0));
            RC_ASSERT(time < bound - Milliseconds(800));
            ++waves[time];
        }
        for (const auto& [time, size] : waves)
            RC_ASSERT(size <= (count + 2) / 3);
    }));
}

BOOST_AUTO_TEST_CASE(withoutABoundEnginesTurnAtOnce)
{
    BOOST_TEST((switchTime("a", { "a", "b" }, Milliseconds(0)) == Milliseconds(0)));
    BOOST_TEST(oldestAllowed({ { 2, start } }, Milliseconds(0), start + std::chrono::hours(1)) == 0u);
}

// A second version named shortly after the first doesn't put off the first one's bound.
BOOST_AUTO_TEST_CASE(eachNamingHasABoundOfItsOwn)
{
    NamedVersions named { { 2, start }, { 3, start + Seconds(3) } };
    BOOST_TEST(oldestAllowed(named, bound, start + Seconds(7)) == 0u);
    BOOST_TEST(oldestAllowed(named, bound, start + Milliseconds(7300)) == 2u);
    BOOST_TEST(oldestAllowed(named, bound, start + Seconds(11)) == 3u);
    BOOST_TEST((switchBase(named, 1) == start));
    BOOST_TEST((switchBase(named, 2) == start + Seconds(3)));
    BOOST_TEST((switchBase(named, 3) == TimePoint::max()));
}
