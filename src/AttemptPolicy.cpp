#include "AttemptPolicy.h"

namespace bilberry {

// Number of attempts that may end without running the request (refused or not connected) before it is given up.
static constexpr int maxRefusals = 4;
// An endpoint can't make use of less time than this, so no attempt is started with less.
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

void countAttempt(AttemptTotals& totals, AttemptResult result)
{
    if (mayHaveRun(result))
        ++totals.runs;
    else
        ++totals.notRun;
}

NextStep decideNextStep(const RetryContext& context)
{
    if (context.result == AttemptResult::Answered)
        return NextStep::Deliver;
    // 1. Another run must be harmless.
    bool isRepeatHarmless = context.isRepeatable || context.totals.runs == 0;
    if (!isRepeatHarmless)
        return NextStep::GiveUp;
    // 2. There must be time and attempts left.
    bool hasAttemptsLeft = context.totals.runs < context.maxAttempts && context.totals.notRun < maxRefusals;
    if (!hasAttemptsLeft || context.timeLeft < minAttemptTime)
        return NextStep::GiveUp;
    return NextStep::TryAnother;
}

FinalAnswer decideFinalAnswer(const RetryContext& context)
{
    if (context.hasResponseStarted)
        return FinalAnswer::CutOff;
    if (context.result == AttemptResult::ServerError)
        return FinalAnswer::Deliver;
    if (context.totals.runs == 0)
        return FinalAnswer::NotRun;
    return context.timeLeft <= Milliseconds(0) ? FinalAnswer::TimedOut : FinalAnswer::Failed;
}

bool promisesNotExecuted(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace bilberry
