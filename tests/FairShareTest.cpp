#define BOOST_TEST_MODULE FairShare
#include <boost/test/unit_test.hpp>

#include "FairShare.h"

#include <cmath>
#include <numeric>
#include <rapidcheck.h>

using namespace bilberry;

namespace {

EnginePerformance makeEngine()
{
    EnginePerformance engine;
    engine.slots = 10;
    engine.stepTime = FractionalMilliseconds(8);
    engine.stepTimePerRequest = FractionalMilliseconds(0.2);
    engine.stepTimePerThousandTokens = FractionalMilliseconds(0.1);
    engine.prefillTokensPerSecond = 20'000;
    engine.prefillTimePerMillionPairs = FractionalMilliseconds(4);
    engine.typicalPromptTokens = 1000;
    engine.typicalAnswerTokens = 100;
    return engine;
}

double sumOf(const std::vector<double>& values)
{
    return std::accumulate(values.begin(), values.end(), 0.0);
}

double usedBy(const std::vector<AccountDemand>& accounts)
{
    double sum = 0;
    for (const auto& account : accounts)
        sum += account.used;
    return sum;
}

} // namespace

// Load: 23 accounts ask for what an even division gives them, and one for ten times that.
BOOST_AUTO_TEST_CASE(whoAsksForMoreThanItsShareGetsTheRest)
{
    std::vector<AccountDemand> accounts(23, { 1, 10, 7.3 });
    accounts.push_back({ 1, 100, 73 });
    auto shares = fairShares(accounts);
    BOOST_TEST(sumOf(shares) == usedBy(accounts), boost::test_tools::tolerance(1e-9));
    for (size_t i = 0; i < 23; ++i)
        BOOST_TEST(shares[i] > 0.9 * accounts[i].asked);
    double servedOfAll = usedBy(accounts) / 330;
    BOOST_TEST(shares[23] >= servedOfAll / 3 * 100 * (1 - 1e-9));
    BOOST_TEST(isBeyondShare(accounts[23].used, shares[23], false));
    BOOST_TEST(!isBeyondShare(accounts[0].used, shares[0], false));
}

// Load: most accounts ask for little, so that what they leave goes to those that ask for more, in equal parts.
BOOST_AUTO_TEST_CASE(whatIsLeftGoesToTheOthersInEqualParts)
{
    const std::vector<AccountDemand> accounts { { 1, 10, 10 }, { 1, 20, 20 }, { 1, 80, 50 }, { 1, 70, 60 }, { 1, 0, 0 } };
    auto shares = fairShares(accounts);
    BOOST_TEST(shares[0] == 10.0);
    BOOST_TEST(shares[1] == 20.0);
    BOOST_TEST(shares[2] == 55.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares[3] == 55.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares[4] == 0.0);
}

BOOST_AUTO_TEST_CASE(anAccountOfTwiceTheWeightHasTwiceTheShare)
{
    auto shares = fairShares({ { 2, 100, 45 }, { 1, 100, 45 } });
    BOOST_TEST(shares[0] == 60.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares[1] == 30.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_CASE(withRoomForAllNobodyIsBeyondItsShare)
{
    const std::vector<AccountDemand> accounts { { 1, 5, 5 }, { 1, 500, 500 }, { 1, 0, 40 } };
    auto shares = fairShares(accounts);
    for (size_t i = 0; i < accounts.size(); ++i)
        BOOST_TEST(!isBeyondShare(accounts[i].used, shares[i], true));
    BOOST_TEST(fairShares({}).empty());
    BOOST_TEST(sumOf(fairShares({ { 1, 10, 0 }, { 1, 0, 0 } })) == 0.0);
}

// An account stays beyond its share until it is back at it, so that the answer doesn't change with each request.
BOOST_AUTO_TEST_CASE(anAccountComesBackAtItsShare)
{
    BOOST_TEST(!isBeyondShare(105, 100, false));
    BOOST_TEST(isBeyondShare(125, 100, false));
    BOOST_TEST(isBeyondShare(105, 100, true));
    BOOST_TEST(!isBeyondShare(100, 100, true));
}

// Load: any. The shares add up to what is used, none is above its account's demand, each account has at least a third of what all have
// on average, and an account of lower demand never has a smaller part of it.
BOOST_AUTO_TEST_CASE(sharesAddUpAndNobodyWithinItsShareIsBeyondIt)
{
    BOOST_TEST(rc::check([] {
        auto count = *rc::gen::inRange<size_t>(1, 40);
        std::vector<AccountDemand> accounts;
        for (size_t i = 0; i < count; ++i) {
            double used = *rc::gen::inRange(0, 10'000) / 7.0;
            double refused = *rc::gen::element(0.0, 0.0, 0.1, 3.0, 40.0) * *rc::gen::inRange(0, 100);
            accounts.push_back({ *rc::gen::element(1.0, 1.0, 0.5, 4.0), used + refused, used });
        }
        auto shares = fairShares(accounts);
        double used = usedBy(accounts);
        double asked = 0;
        for (const auto& account : accounts)
            asked += account.asked;
        RC_ASSERT(std::abs(sumOf(shares) - used) <= 1e-6 * (1 + used));
        for (size_t i = 0; i < count; ++i) {
            const auto& account = accounts[i];
            RC_ASSERT(shares[i] <= account.asked);
            RC_ASSERT(shares[i] >= account.asked * used / std::max(asked, 1e-9) / 3 - 1e-6);
            bool isWithinShare = account.used <= shares[i];
            RC_ASSERT(!isWithinShare || (!isBeyondShare(account.used, shares[i], false) && !isBeyondShare(account.used, shares[i], true)));
            for (size_t other = 0; other < count; ++other) {
                bool asksForLess = account.weight == accounts[other].weight && account.asked <= accounts[other].asked;
                RC_ASSERT(!asksForLess || shares[i] * accounts[other].asked >= shares[other] * account.asked - 1e-6 * (1 + used) * (1 + accounts[other].asked));
            }
        }
    }));
}

BOOST_AUTO_TEST_CASE(engineTimeFollowsFromTheTokens)
{
    auto engine = makeEngine();
    // 50 ms and 2 ms to read; 100 tokens at 0.8 ms, 0.2 ms and 0.105 ms.
    BOOST_TEST(expectedEngineTime(&engine, 1000, 100).count() == 162.5, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(expectedEngineTime(&engine, 0, 0).count() == 162.5, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(expectedEngineTime(&engine, 4000, 0).count() > 3 * 52.0);
    BOOST_TEST(expectedEngineTime(&engine, 0, 200).count() > expectedEngineTime(&engine, 0, 100).count());
    BOOST_TEST(expectedEngineTime(&engine, UINT32_MAX, UINT32_MAX).count() < 60'000);
    BOOST_TEST(expectedEngineTime(nullptr, 4000, 100).count() == expectedEngineTime(nullptr, 0, 0).count());
    EnginePerformance unstated;
    BOOST_TEST(expectedEngineTime(&unstated, 0, 0).count() == 0.0);
}
