#include "AttemptPolicy.h"

#include <algorithm>

namespace bilberry {

// Number of attempts that may end without running the request (refused or not connected) before it is given up.
static constexpr int maxRefusals = 4;
// The silence timeout is this many times the route's target latency, clamped to these bounds.
static constexpr int silenceTimeoutFactor = 4;
static constexpr Milliseconds minSilenceTimeout { 300 };
static constexpr Milliseconds maxSilenceTimeout { 1500 };
// Factor by which the silence timeout is longer while the request may wait in the endpoint's queue.
static constexpr int queuedSilenceFactor = 2;
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
    case AttemptResult::EndUnverified:
        return "end_unverified";
    case AttemptResult::Malformed:
        return "malformed";
    case AttemptResult::Silent:
        return "silent";
    case AttemptResult::TimedOut:
        return "timed_out";
    }
    return "lost";
}

bool mayHaveRun(AttemptResult result)
{
    return result != AttemptResult::NotExecuted && result != AttemptResult::NotSent;
}

Milliseconds silenceTimeout(const SilenceContext& context)
{
    auto timeout = std::clamp(context.targetLatency * silenceTimeoutFactor, minSilenceTimeout, maxSilenceTimeout);
    bool mayBeQueued = context.isEndpointFull && context.isEndpointAlive;
    return mayBeQueued ? timeout * queuedSilenceFactor : timeout;
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
