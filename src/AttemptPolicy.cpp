#include "AttemptPolicy.h"

namespace bilberry {

// Endpoints that may refuse one request before it is given up.
static constexpr int maxRefusals = 4;
// Less time than this is no use to an endpoint.
static constexpr Milliseconds minAttemptTime { 20 };

std::string_view toText(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Answered:
        return "answered";
    case AttemptResult::ServerError:
        return "server_error";
    case AttemptResult::NotExecuted:
        return "not_executed";
    case AttemptResult::NotSent:
        return "not_sent";
    case AttemptResult::Lost:
        return "lost";
    case AttemptResult::Malformed:
        return "malformed";
    case AttemptResult::TimedOut:
        return "timed_out";
    }
    return "lost";
}

bool mayHaveRun(AttemptResult result)
{
    return result != AttemptResult::NotExecuted && result != AttemptResult::NotSent;
}

void countAttempt(AttemptTotals& tally, AttemptResult result)
{
    if (mayHaveRun(result))
        ++tally.runs;
    else
        ++tally.refusals;
}

NextStep decideNextStep(const RetryContext& facts)
{
    if (facts.result == AttemptResult::Answered)
        return NextStep::Deliver;
    // 1. Another run must do no harm.
    bool isHarmless = facts.isRepeatable || facts.totals.runs == 0;
    if (!isHarmless)
        return NextStep::GiveUp;
    // 2. There must be time and attempts left.
    bool isBounded = facts.totals.runs < facts.maxAttempts && facts.totals.refusals < maxRefusals;
    if (!isBounded || facts.timeLeft < minAttemptTime)
        return NextStep::GiveUp;
    return NextStep::TryAnother;
}

FinalAnswer decideFinalAnswer(const RetryContext& facts)
{
    if (facts.hasResponseStarted)
        return FinalAnswer::CutOff;
    if (facts.result == AttemptResult::ServerError)
        return FinalAnswer::Deliver;
    if (facts.totals.runs == 0)
        return FinalAnswer::NotRun;
    return facts.timeLeft <= Milliseconds(0) ? FinalAnswer::TimedOut : FinalAnswer::Failed;
}

bool promisesNotExecuted(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace bilberry
