#include "AnswerEnd.h"

namespace bilberry {

// Bytes that an endpoint sent before it ended arrive within this time after the end of an answer.
static constexpr Milliseconds maxArrivalTime { 60 };
// Number of probes without an answer after which a request that may run again is retried.
static constexpr int maxProbesBeforeRetry = 2;

EndVerdict judgeAnswerEnd(const AnswerEnd& end, const EndEvidence& evidence)
{
    if (evidence.hasRestarted || evidence.probe == ProbeResult::Refused)
        return EndVerdict::Ended;
    bool isHeardLater = evidence.heardAt - end.endedAt > maxArrivalTime;
    if (evidence.probe == ProbeResult::Accepted || isHeardLater)
        return EndVerdict::LivesOn;
    bool isRetryDue = evidence.mayRunAgain && end.probes >= maxProbesBeforeRetry;
    return isRetryDue ? EndVerdict::Unreached : EndVerdict::ProbeAgain;
}

} // namespace bilberry
