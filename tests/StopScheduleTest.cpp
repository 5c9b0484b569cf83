#define BOOST_TEST_MODULE StopSchedule
#include <boost/test/unit_test.hpp>

#include "StopSchedule.h"

#include <rapidcheck.h>

using namespace bilberry;

BOOST_AUTO_TEST_CASE(answersAreWrittenBeforeTheExitForAnyGracePeriod)
{
    BOOST_TEST(rc::check([] {
        TimePoint requestedAt { Milliseconds(*rc::gen::inRange<int64_t>(0, 1'000'000'000)) };
        Milliseconds gracePeriod { *rc::gen::inRange(100, 3'600'000) };
        auto schedule = makeStopSchedule(requestedAt, gracePeriod);
        RC_ASSERT(requestedAt < schedule.takesRequestsUntil);
        RC_ASSERT(schedule.takesRequestsUntil <= schedule.answersDueAt);
        RC_ASSERT(schedule.answersDueAt < schedule.exitAt);
        RC_ASSERT(schedule.exitAt < requestedAt + gracePeriod);
    }));
}

BOOST_AUTO_TEST_CASE(shortGracePeriodsDontTurnAwayWhatTheLoadBalancerStillSends)
{
    TimePoint requestedAt { std::chrono::hours(1) };
    auto schedule = makeStopSchedule(requestedAt, Milliseconds(4000));
    BOOST_TEST((schedule.takesRequestsUntil >= requestedAt + Milliseconds(2600)));
    schedule = makeStopSchedule(requestedAt, Milliseconds(2000));
    BOOST_TEST((schedule.takesRequestsUntil == schedule.answersDueAt));
}

BOOST_AUTO_TEST_CASE(noAttemptIsSentThatCanNotEndBeforeTheExit)
{
    BOOST_TEST(rc::check([] {
        TimePoint requestedAt { std::chrono::hours(1) };
        auto schedule = makeStopSchedule(requestedAt, Milliseconds(*rc::gen::inRange(100, 20'000)));
        auto now = requestedAt + Milliseconds(*rc::gen::inRange(0, 20'000));
        auto deadline = now + Milliseconds(*rc::gen::inRange(1, 30'000));
        Milliseconds targetLatency { *rc::gen::inRange(1, 30'000) };
        auto timeToAnswer = schedule.answersDueAt - now;
        bool isSent = canAttemptEnd(schedule, deadline, targetLatency, now);
        bool hasTargetLatency = timeToAnswer >= targetLatency;
        bool hasWholeDeadline = timeToAnswer >= deadline - now;
        if (isSent)
            RC_ASSERT(timeToAnswer > Milliseconds(0) && (hasTargetLatency || hasWholeDeadline));
        else
            RC_ASSERT(timeToAnswer <= Milliseconds(0) || (!hasTargetLatency && !hasWholeDeadline));
    }));
}

BOOST_AUTO_TEST_CASE(anEntryThatIsNotStoppingSendsAll)
{
    TimePoint now { std::chrono::hours(1) };
    BOOST_TEST(canAttemptEnd(StopSchedule(), now + std::chrono::hours(2), std::chrono::hours(2), now));
}
