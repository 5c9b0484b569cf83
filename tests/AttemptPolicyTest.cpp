#define BOOST_TEST_MODULE AttemptPolicy
#include <boost/test/unit_test.hpp>

#include "AttemptPolicy.h"

#include <rapidcheck.h>

using namespace bilberry;

namespace {

const std::vector<AttemptResult> allResults { AttemptResult::Answered, AttemptResult::ServerError, AttemptResult::NotExecuted,
    AttemptResult::NotSent, AttemptResult::Lost, AttemptResult::Malformed, AttemptResult::TimedOut };

RetryContext makeRetryContext(AttemptResult result, bool isRepeatable, int maxAttempts = 2)
{
    RetryContext facts;
    facts.result = result;
    facts.isRepeatable = isRepeatable;
    facts.maxAttempts = maxAttempts;
    facts.timeLeft = Milliseconds(1000);
    countAttempt(facts.totals, result);
    return facts;
}

} // namespace

// Two writes of a request that may not be repeated imply a typed "not executed" (or no connection) in between, and "not run"
// is answered only when no endpoint can have run it, over any sequence of failures.
BOOST_AUTO_TEST_CASE(requestsThatMayNotBeRepeatedRunAtMostOnce)
{
    BOOST_TEST(rc::check([] {
        auto results = *rc::gen::container<std::vector<AttemptResult>>(rc::gen::elementOf(allResults));
        auto maxAttempts = *rc::gen::inRange(1, 5);
        RetryContext facts;
        facts.maxAttempts = maxAttempts;
        bool mayHaveRunBefore = false;
        for (auto result : results) {
            RC_ASSERT(!mayHaveRunBefore);
            facts.result = result;
            facts.timeLeft = Milliseconds(*rc::gen::inRange(0, 2000));
            countAttempt(facts.totals, result);
            mayHaveRunBefore = mayHaveRun(result);
            auto step = decideNextStep(facts);
            if (step == NextStep::TryAnother)
                continue;
            if (step == NextStep::GiveUp && decideFinalAnswer(facts) == FinalAnswer::NotRun)
                RC_ASSERT(!mayHaveRunBefore);
            return;
        }
    }));
}

BOOST_AUTO_TEST_CASE(runsStayWithinTheRoutesAttempts)
{
    BOOST_TEST(rc::check([] {
        auto results = *rc::gen::container<std::vector<AttemptResult>>(200, rc::gen::elementOf(allResults));
        RetryContext facts;
        facts.isRepeatable = true;
        facts.maxAttempts = *rc::gen::inRange(1, 5);
        facts.timeLeft = Milliseconds(1000);
        size_t attempts = 0;
        for (auto result : results) {
            ++attempts;
            facts.result = result;
            countAttempt(facts.totals, result);
            if (decideNextStep(facts) != NextStep::TryAnother)
                break;
        }
        RC_ASSERT(facts.totals.runs <= facts.maxAttempts);
        RC_ASSERT(attempts < 12u);
    }));
}

BOOST_AUTO_TEST_CASE(decisionsByResult)
{
    struct Row {
        AttemptResult result;
        bool isRepeatable;
        NextStep step;
        FinalAnswer last;
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
        auto facts = makeRetryContext(row.result, row.isRepeatable);
        BOOST_TEST_CONTEXT(toText(row.result) << (row.isRepeatable ? " repeatable" : " once"))
        {
            BOOST_TEST((decideNextStep(facts) == row.step));
            BOOST_TEST((decideFinalAnswer(facts) == row.last));
        }
    }
}

BOOST_AUTO_TEST_CASE(startedAnswersAreCutOffVisibly)
{
    auto facts = makeRetryContext(AttemptResult::Lost, true, 1);
    facts.hasResponseStarted = true;
    BOOST_TEST((decideNextStep(facts) == NextStep::GiveUp));
    BOOST_TEST((decideFinalAnswer(facts) == FinalAnswer::CutOff));
}

BOOST_AUTO_TEST_CASE(withoutTimeNothingIsTriedAgain)
{
    auto facts = makeRetryContext(AttemptResult::Lost, true, 5);
    facts.timeLeft = Milliseconds(0);
    BOOST_TEST((decideNextStep(facts) == NextStep::GiveUp));
    BOOST_TEST((decideFinalAnswer(facts) == FinalAnswer::TimedOut));
}
