#define BOOST_TEST_MODULE CrashHistory
#include <boost/test/unit_test.hpp>

#include "CrashHistory.h"

using namespace bilberry;

static const TimePoint start { std::chrono::hours(1) };

BOOST_AUTO_TEST_CASE(requestsPresentAtThreeCrashesAreRefused)
{
    CrashHistory history;
    BOOST_TEST(history.addReport({ 7, 1 }, start));
    BOOST_TEST(!history.addReport({ 7, 1 }, start));
    BOOST_TEST(history.addReport({ 7, 2 }, start));
    BOOST_TEST(!isBlockedForCrashes(history, 7));
    BOOST_TEST(history.addReport({ 7, 3 }, start));
    BOOST_TEST(isBlockedForCrashes(history, 7));
    BOOST_TEST(!isBlockedForCrashes(history, 8));
}

BOOST_AUTO_TEST_CASE(anAnsweredRequestIsNotTheCause)
{
    CrashHistory history;
    history.addReport({ 7, 1 }, start);
    history.addReport({ 7, 2 }, start);
    history.removeRequest(7);
    history.addReport({ 7, 3 }, start);
    BOOST_TEST(!isBlockedForCrashes(history, 7));
}

BOOST_AUTO_TEST_CASE(oldCrashesAreForgotten)
{
    CrashHistory history;
    for (uint32_t endpoint : { 1u, 2u, 3u })
        history.addReport({ 7, endpoint }, start);
    history.removeExpired(start + std::chrono::hours(1));
    BOOST_TEST(!isBlockedForCrashes(history, 7));
}

BOOST_AUTO_TEST_CASE(fingerprintsTellRequestsApart)
{
    auto one = requestFingerprint("POST", "/a/", "account", "body");
    BOOST_TEST(one == requestFingerprint("POST", "/a/", "account", "body"));
    BOOST_TEST(one != requestFingerprint("PUT", "/a/", "account", "body"));
    BOOST_TEST(one != requestFingerprint("POST", "/b/", "account", "body"));
    BOOST_TEST(one != requestFingerprint("POST", "/a/", "other", "body"));
    BOOST_TEST(one != requestFingerprint("POST", "/a/", "account", "body2"));
    BOOST_TEST(requestFingerprint("GET", "/ab", "c", "") != requestFingerprint("GET", "/a", "bc", ""));
}

// A single lost connection doesn't show a crash. Several losses with no request left at the endpoint, or a refused connection
// after a loss, do.
BOOST_AUTO_TEST_CASE(lossesThatShowACrash)
{
    LossRecord single;
    BOOST_TEST(recordLoss(single, 1, 0, false, start).empty());
    BOOST_TEST(recordLoss(single, 2, 0, true, start + Milliseconds(100)) == std::vector<uint64_t> { 1 }, boost::test_tools::per_element());

    LossRecord several;
    BOOST_TEST(recordLoss(several, 1, 2, false, start).empty());
    BOOST_TEST(recordLoss(several, 2, 1, false, start).empty());
    BOOST_TEST(recordLoss(several, 3, 0, false, start).size() == 3u);
    BOOST_TEST(recordLoss(several, 4, 0, false, start).empty());

    LossRecord spread;
    BOOST_TEST(recordLoss(spread, 1, 0, false, start).empty());
    BOOST_TEST(recordLoss(spread, 2, 0, false, start + Seconds(5)).empty());
}
