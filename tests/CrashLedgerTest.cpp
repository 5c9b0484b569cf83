#define BOOST_TEST_MODULE CrashLedger
#include <boost/test/unit_test.hpp>

#include "CrashLedger.h"

using namespace bilberry;

static const TimePoint start { std::chrono::hours(1) };

BOOST_AUTO_TEST_CASE(requestsPresentAtThreeCrashesAreRefused)
{
    CrashLedger ledger;
    BOOST_TEST(ledger.add({ 7, 1 }, start));
    BOOST_TEST(!ledger.add({ 7, 1 }, start));
    BOOST_TEST(ledger.add({ 7, 2 }, start));
    BOOST_TEST(!isCondemned(ledger, 7));
    BOOST_TEST(ledger.add({ 7, 3 }, start));
    BOOST_TEST(isCondemned(ledger, 7));
    BOOST_TEST(!isCondemned(ledger, 8));
}

BOOST_AUTO_TEST_CASE(anAnsweredRequestIsNotTheCause)
{
    CrashLedger ledger;
    ledger.add({ 7, 1 }, start);
    ledger.add({ 7, 2 }, start);
    ledger.clear(7);
    ledger.add({ 7, 3 }, start);
    BOOST_TEST(!isCondemned(ledger, 7));
}

BOOST_AUTO_TEST_CASE(oldCrashesAreForgotten)
{
    CrashLedger ledger;
    for (uint32_t endpoint : { 1u, 2u, 3u })
        ledger.add({ 7, endpoint }, start);
    ledger.sweep(start + std::chrono::hours(1));
    BOOST_TEST(!isCondemned(ledger, 7));
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

// One cut connection says nothing; several with nothing left running, or a refused connection after a loss, do.
BOOST_AUTO_TEST_CASE(lossesThatShowACrash)
{
    LossRecord single;
    BOOST_TEST(noteLoss(single, 1, 0, false, start).empty());
    BOOST_TEST(noteLoss(single, 2, 0, true, start + Milliseconds(100)) == std::vector<uint64_t> { 1 }, boost::test_tools::per_element());

    LossRecord several;
    BOOST_TEST(noteLoss(several, 1, 2, false, start).empty());
    BOOST_TEST(noteLoss(several, 2, 1, false, start).empty());
    BOOST_TEST(noteLoss(several, 3, 0, false, start).size() == 3u);
    BOOST_TEST(noteLoss(several, 4, 0, false, start).empty());

    LossRecord spread;
    BOOST_TEST(noteLoss(spread, 1, 0, false, start).empty());
    BOOST_TEST(noteLoss(spread, 2, 0, false, start + Seconds(5)).empty());
}
