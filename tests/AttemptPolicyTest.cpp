#define BOOST_TEST_MODULE AttemptPolicy
#include <boost/test/unit_test.hpp>

#include "AttemptPolicy.h"

#include <rapidcheck.h>

using namespace bilberry;

namespace {

const std::vector<AttemptResult> allResults { AttemptResult::Answered, AttemptResult::ServerError, AttemptResult::NotExecuted,
    AttemptResult::NotSent, AttemptResult::Lost, AttemptResult::EndUnverified, AttemptResult::Malformed, AttemptResult::TimedOut };

RetryContext makeRetryContext(AttemptResult result, bool isRepeatable, int maxAttempts = 2)
{
    RetryContext context;
    context.result = result;
    context.isRepeatable = isRepeatable;
    context.maxAttempts = maxAttempts;
    context.timeLeft = Milliseconds(1000);
    countAttempt(context.totals, result);
    return context;
}

} // namespace

// A request that may not be repeated is sent a second time only if its endpoint said "not executed" or no connection was made,
// and "not run" is answered only when no endpoint can have run it. Both hold for any sequence of failures.
BOOST_AUTO_TEST_CASE(requestsThatMayNotBeRepeatedRunAtMostOnce)
{
    BOOST_TEST(rc::check([] {
        auto results = *rc::gen::container<std::vector<AttemptResult>>(rc::gen::elementOf(allResults));
        auto maxAttempts = *rc::gen::inRange(1, 5);
        RetryContext context;
        context.maxAttempts = maxAttempts;
        bool mayHaveRunSoFar = false;
        for (auto result : results) {
            RC_ASSERT(!mayHaveRunSoFar);
            context.result = result;
            context.timeLeft = Milliseconds(*rc::gen::inRange(0, 2000));
            countAttempt(context.totals, result);
            mayHaveRunSoFar = mayHaveRun(result);
            auto step = decideNextStep(context);
            if (step == NextStep::TryAnother)
                continue;
            if (step == NextStep::GiveUp && decideFinalAnswer(context) == FinalAnswer::NotRun)
                RC_ASSERT(!mayHaveRunSoFar);
            return;
        }
    }));
}

BOOST_AUTO_TEST_CASE(runsStayWithinMaxAttempts)
{
    BOOST_TEST(rc::check([] {
        auto results = *rc::gen::container<std::vector<AttemptResult>>(200, rc::gen::elementOf(allResults));
        RetryContext context;
        context.isRepeatable = true;
        context.maxAttempts = *rc::gen::inRange(1, 5);
        context.timeLeft = Milliseconds(1000);
        size_t attempts = 0;
        for (auto result : results) {
            ++attempts;
            context.result = result;
            countAttempt(context.totals, result);
            if (decideNextStep(context) != NextStep::TryAnother)
                break;
        }
        RC_ASSERT(context.totals.runs <= context.maxAttempts);
        RC_ASSERT(attempts < 12u);
    }));
}

BOOST_AUTO_TEST_CASE(decisionsByResult)
{
    struct Row {
        AttemptResult result;
        bool isRepeatable;
        NextStep step;
        FinalAnswer finalAnswer;
    };
    const std::vector<Row> rows {
        { AttemptResult::Answered, false, NextStep::Deliver, FinalAnswer::Failed },
        { AttemptResult::ServerError, false, NextStep::GiveUp, FinalAnswer::Deliver },
        { AttemptResult::ServerError, true, NextStep::TryAnother, FinalAnswer::Deliver },
        { AttemptResult::NotExecuted, false, NextStep::TryAnother, FinalAnswer::NotRun },
        { AttemptResult::NotSent, false, NextStep::TryAnother, FinalAnswer::NotRun },
        { AttemptResult::Lost, false, NextStep::GiveUp, FinalAnswer::Failed },
        { AttemptResult::Lost, true, NextStep::TryAnother, FinalAnswer::Failed },
        { AttemptResult::Malformed, false, NextStep::GiveUp, FinalAnswer::Failed },
    };
    for (const auto& row : rows) {
        auto context = makeRetryContext(row.result, row.isRepeatable);
        BOOST_TEST_CONTEXT(toText(row.result) << (row.isRepeatable ? " repeatable" : " once"))
        {
            BOOST_TEST((decideNextStep(context) == row.step));
            BOOST_TEST((decideFinalAnswer(context) == row.finalAnswer));
        }
    }
}

BOOST_AUTO_TEST_CASE(startedResponsesAreAborted)
{
    auto context = makeRetryContext(AttemptResult::Lost, true, 1);
    context.hasResponseStarted = true;
    BOOST_TEST((decideNextStep(context) == NextStep::GiveUp));
    BOOST_TEST((decideFinalAnswer(context) == FinalAnswer::CutOff));
}

BOOST_AUTO_TEST_CASE(noRetryWithoutTimeLeft)
{
    auto context = makeRetryContext(AttemptResult::Lost, true, 5);
    context.timeLeft = Milliseconds(0);
    BOOST_TEST((decideNextStep(context) == NextStep::GiveUp));
    BOOST_TEST((decideFinalAnswer(context) == FinalAnswer::TimedOut));
}
