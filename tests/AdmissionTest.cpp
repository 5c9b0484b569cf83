#define BOOST_TEST_MODULE Admission
#include "Admission.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <rapidcheck/boost_test.h>

using namespace bilberry;

static const TimePoint start = TimePoint() + std::chrono::hours(1);

static CompletionReport makeRandomReport(bool wasAtLimit)
{
    CompletionReport report;
    report.isFailure = *rc::gen::inRange(0, 10) == 0;
    report.isRefusal = *rc::gen::inRange(0, 20) == 0;
    report.wasAtLimit = wasAtLimit;
    report.timeToFirstByte = Milliseconds(*rc::gen::inRange(0, 500));
    report.serviceTime = report.timeToFirstByte + Milliseconds(*rc::gen::inRange(0, 500));
    return report;
}

// Whatever is reported, no request is admitted above the limit, above the cold limit while cold, or above the bounds.
RC_BOOST_PROP(neverAboveTheLimit, ())
{
    AdmissionBounds bounds;
    bounds.coldLimit = *rc::gen::inRange<uint32_t>(1, 4);
    bounds.maxLimit = bounds.coldLimit + *rc::gen::inRange<uint32_t>(0, 20);
    auto state = makeAdmissionState(bounds);
    std::deque<bool> running;
    auto now = start;
    for (int step = *rc::gen::inRange(1, 300); step > 0; --step) {
        now += Milliseconds(*rc::gen::inRange(0, 100));
        int action = *rc::gen::inRange(0, 10);
        if (action == 0)
            updateColdState(state, *rc::gen::arbitrary<bool>(), now);
        if (action < 6) {
            uint32_t before = state.inProgress;
            auto admission = tryAdmit(state);
            RC_ASSERT(admission.isAdmitted == (before < static_cast<uint32_t>(state.limit)));
            RC_ASSERT(!admission.isAdmitted || state.inProgress <= (state.isCold ? bounds.coldLimit : bounds.maxLimit));
            if (admission.isAdmitted)
                running.push_back(admission.wasAtLimit);
        } else if (!running.empty()) {
            auto report = makeRandomReport(running.front());
            running.pop_front();
            completeRequest(state, report, now);
            RC_ASSERT(!report.isRefusal || static_cast<uint32_t>(state.limit) == bounds.coldLimit);
        }
        RC_ASSERT(state.inProgress == running.size());
        RC_ASSERT(state.limit >= bounds.coldLimit && state.limit <= (state.isCold ? bounds.coldLimit : bounds.maxLimit));
    }
}

// A refusal shows that the back end is cold before its report does. The out-of-date report of being warm must not raise the
// limit again.
BOOST_AUTO_TEST_CASE(coldTurnDropsTheLimitAtOnce)
{
    auto state = makeAdmissionState({ 2, 16 });
    updateColdState(state, false, start);
    for (int i = 0; i < 200; ++i) {
        std::deque<bool> running;
        for (auto admission = tryAdmit(state); admission.isAdmitted; admission = tryAdmit(state))
            running.push_back(admission.wasAtLimit);
        for (bool wasAtLimit : running)
            completeRequest(state, { false, false, wasAtLimit, Milliseconds(5), Milliseconds(20) }, start);
    }
    BOOST_TEST(state.limit == 16);
    tryAdmit(state);
    completeRequest(state, { false, true, false }, start);
    BOOST_TEST(state.limit == 2);
    updateColdState(state, false, start + Milliseconds(500));
    BOOST_TEST(state.isCold);
    updateColdState(state, false, start + Milliseconds(1500));
    BOOST_TEST(!state.isCold);
    BOOST_TEST(state.limit == 2);
}

BOOST_AUTO_TEST_CASE(unusedLimitDoesNotGrow)
{
    auto state = makeAdmissionState({ 2, 16 });
    updateColdState(state, false, start);
    for (int i = 0; i < 100; ++i) {
        auto admission = tryAdmit(state);
        BOOST_TEST(!admission.wasAtLimit);
        completeRequest(state, { false, false, admission.wasAtLimit, Milliseconds(5), Milliseconds(20) }, start);
    }
    BOOST_TEST(state.limit == 2);
}

BOOST_AUTO_TEST_CASE(lateFirstBytesReduceTheLimit)
{
    auto state = makeAdmissionState({ 2, 16 });
    updateColdState(state, false, start);
    state.limit = 16;
    auto now = start;
    auto complete = [&](Milliseconds timeToFirstByte) {
        now += Milliseconds(20);
        tryAdmit(state);
        completeRequest(state, { false, false, true, timeToFirstByte, timeToFirstByte }, now);
    };
    for (int i = 0; i < 50; ++i)
        complete(Milliseconds(10));
    BOOST_TEST(state.limit == 16);
    for (int i = 0; i < 50; ++i)
        complete(Milliseconds(300));
    BOOST_TEST(state.limit < 12);
}
