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

BOOST_AUTO_TEST_CASE(anEntryThatStartsLearnsWhichRequestsAreRefused)
{
    CrashHistory history;
    for (uint32_t run : { 1u, 2u, 3u, 4u })
        history.addReport({ 7, run }, start);
    history.addReport({ 8, 1 }, start);
    CrashHistory ofNewEntry;
    for (const auto& report : reportsOfBlockedRequests(history, 10))
        ofNewEntry.addReport(report, start);
    BOOST_TEST(isBlockedForCrashes(ofNewEntry, 7));
    BOOST_TEST(!isBlockedForCrashes(ofNewEntry, 8));
    BOOST_TEST(reportsOfBlockedRequests(history, 2).empty());
}

// A loss counts as a crash once the store shows that the run has ended, unless the endpoint has sent anything since.
BOOST_AUTO_TEST_CASE(aSingleLossBeforeTheEndOfARunShowsACrash)
{
    struct Row {
        const char* name;
        Milliseconds heardAfter;
        Milliseconds endedAfter;
        size_t count;
    };
    const std::vector<Row> rows {
        { "silent since", Milliseconds(-10), Milliseconds(3000), 1 },
        { "heard since", Milliseconds(10), Milliseconds(3000), 0 },
        { "ended long after", Milliseconds(-10), Milliseconds(60'000), 0 },
    };
    for (const auto& row : rows) {
        LossRecord record;
        recordLoss(record, 1, start);
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST(takeLossesOfEndedRun(record, start + row.heardAfter, start + row.endedAfter).size() == row.count);
            BOOST_TEST(record.fingerprints.empty());
        }
    }
}

// A lost connection doesn't show a crash: a refused connection after it does, and several losses at a VM that doesn't answer.
BOOST_AUTO_TEST_CASE(lossesThatShowACrash)
{
    struct Row {
        const char* name;
        size_t losses;
        ProbeResult probe;
        uint32_t inProgress;
        size_t reported;
        size_t left;
    };
    const std::vector<Row> rows {
        { "one, refused", 1, ProbeResult::Refused, 0, 1, 0 },
        { "one, accepted", 1, ProbeResult::Accepted, 0, 0, 0 },
        { "one, unknown", 1, ProbeResult::Unknown, 0, 0, 1 },
        { "three, refused", 3, ProbeResult::Refused, 0, 3, 0 },
        { "three, accepted", 3, ProbeResult::Accepted, 0, 0, 0 },
        { "three, unknown", 3, ProbeResult::Unknown, 0, 3, 0 },
        { "three, refused, one in progress", 3, ProbeResult::Refused, 1, 3, 0 },
        { "three, accepted, one in progress", 3, ProbeResult::Accepted, 1, 0, 0 },
        { "three, unknown, one in progress", 3, ProbeResult::Unknown, 1, 0, 3 },
    };
    for (const auto& row : rows) {
        LossRecord record;
        for (uint64_t fingerprint = 1; fingerprint <= row.losses; ++fingerprint)
            recordLoss(record, fingerprint, start);
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST(takeLossesAfterProbe(record, row.probe, row.inProgress).size() == row.reported);
            BOOST_TEST(record.fingerprints.size() == row.left);
        }
    }
}

BOOST_AUTO_TEST_CASE(lossesAreNoCrashWhileOtherRequestsAreInProgress)
{
    LossRecord record;
    BOOST_TEST(!needsProbe(record, 0, TimePoint()));
    for (uint32_t inProgress : { 2u, 1u }) {
        recordLoss(record, inProgress, start);
        BOOST_TEST(!needsProbe(record, inProgress, TimePoint()));
        BOOST_TEST(takeLossesAfterProbe(record, ProbeResult::Unknown, inProgress).empty());
    }
    recordLoss(record, 3, start);
    BOOST_TEST(needsProbe(record, 0, TimePoint()));
    record.isBeingProbed = true;
    BOOST_TEST(!needsProbe(record, 0, TimePoint()));
    // All of them count once none is left.
    BOOST_TEST(takeLossesAfterProbe(record, ProbeResult::Unknown, 0).size() == 3u);
    record.isBeingProbed = false;
    BOOST_TEST(!needsProbe(record, 0, TimePoint()));
}

BOOST_AUTO_TEST_CASE(lossesAreProbedUnlessTheirEndpointWasHeardLongAfterThem)
{
    LossRecord record;
    recordLoss(record, 1, start);
    BOOST_TEST(needsProbe(record, 0, start - Milliseconds(1)));
    BOOST_TEST(needsProbe(record, 0, start + Milliseconds(1)));
    BOOST_TEST(!needsProbe(record, 0, start + Seconds(1)));
}

BOOST_AUTO_TEST_CASE(lossesCountTogetherForAShortTimeOnly)
{
    LossRecord refused;
    recordLoss(refused, 1, start);
    BOOST_TEST(takeLossesAfterRefusal(refused, start + Milliseconds(100)) == std::vector<uint64_t> { 1 }, boost::test_tools::per_element());
    BOOST_TEST(takeLossesAfterRefusal(refused, start + Milliseconds(100)).empty());

    LossRecord late;
    recordLoss(late, 1, start);
    BOOST_TEST(takeLossesAfterRefusal(late, start + Seconds(5)).empty());

    LossRecord spread;
    recordLoss(spread, 1, start);
    recordLoss(spread, 2, start + Seconds(5));
    BOOST_TEST(takeLossesAfterProbe(spread, ProbeResult::Unknown, 0).empty());
}
