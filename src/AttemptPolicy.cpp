#include "AttemptPolicy.h"

namespace bilberry {

// Endpoints that may refuse one request before it is given up.
static constexpr int maxRefusals = 4;
// Less time than this is no use to an endpoint.
static constexpr Milliseconds leastUsefulTime { 20 };

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

void countAttempt(AttemptTally& tally, AttemptResult result)
{
    if (mayHaveRun(result))
        ++tally.runs;
    else
        ++tally.refusals;
}

NextStep decideNext(const AttemptFacts& facts)
{
    if (facts.result == AttemptResult::Answered)
        return NextStep::Deliver;
    // 1. Another run must do no harm.
    bool isHarmless = facts.isRepeatable || facts.tally.runs == 0;
    if (!isHarmless)
        return NextStep::GiveUp;
    // 2. There must be time and attempts left.
    bool isBounded = facts.tally.runs < facts.maxAttempts && facts.tally.refusals < maxRefusals;
    if (!isBounded || facts.timeLeft < leastUsefulTime)
        return NextStep::GiveUp;
    return NextStep::TryAnother;
}

FinalAnswer giveUp(const AttemptFacts& facts)
{
    if (facts.hasStarted)
        return FinalAnswer::CutOff;
    if (facts.result == AttemptResult::ServerError)
        return FinalAnswer::Deliver;
    if (facts.tally.runs == 0)
        return FinalAnswer::NotRun;
    return facts.timeLeft <= Milliseconds(0) ? FinalAnswer::TimedOut : FinalAnswer::Failed;
}

bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace bilberry
