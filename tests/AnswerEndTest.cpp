#define BOOST_TEST_MODULE AnswerEnd
#include <boost/test/unit_test.hpp>

#include "AnswerEnd.h"

using namespace bilberry;

namespace {

const TimePoint endedAt = TimePoint() + Seconds(100);

EndVerdict judge(int probes, const EndEvidence& evidence)
{
    return judgeAnswerEnd({ AttemptResult::Answered, endedAt, probes }, evidence);
}

} // namespace

BOOST_AUTO_TEST_CASE(probesWithoutAnAnswerNeverShowThatAnEndpointEnded)
{
    for (int probes = 1; probes < 20; ++probes) {
        for (bool mayRunAgain : { false, true }) {
            auto verdict = judge(probes, { ProbeResult::Unknown, false, endedAt, mayRunAgain });
            BOOST_TEST((verdict == EndVerdict::ProbeAgain || verdict == EndVerdict::Unreached));
        }
    }
}

BOOST_AUTO_TEST_CASE(anAnswerToARequestThatMayNotRunAgainIsNotGivenUpForProbesWithoutAnAnswer)
{
    BOOST_TEST((judge(1, { ProbeResult::Unknown, false, endedAt, true }) == EndVerdict::ProbeAgain));
    BOOST_TEST((judge(2, { ProbeResult::Unknown, false, endedAt, true }) == EndVerdict::Unreached));
    BOOST_TEST((judge(9, { ProbeResult::Unknown, false, endedAt, false }) == EndVerdict::ProbeAgain));
}

BOOST_AUTO_TEST_CASE(onlyWhatAnEndpointSentAfterTheEndShowsThatItLivedOn)
{
    BOOST_TEST((judge(1, { ProbeResult::Unknown, false, endedAt + Milliseconds(300), false }) == EndVerdict::LivesOn));
    BOOST_TEST((judge(1, { ProbeResult::Unknown, false, endedAt + Milliseconds(5), false }) == EndVerdict::ProbeAgain));
    BOOST_TEST((judge(1, { ProbeResult::Unknown, false, TimePoint(), false }) == EndVerdict::ProbeAgain));
    BOOST_TEST((judge(1, { ProbeResult::Accepted, false, TimePoint(), false }) == EndVerdict::LivesOn));
}

BOOST_AUTO_TEST_CASE(anEndpointThatRefusesOrHasStartedAgainEnded)
{
    BOOST_TEST((judge(1, { ProbeResult::Refused, false, endedAt, true }) == EndVerdict::Ended));
    BOOST_TEST((judge(1, { ProbeResult::Accepted, true, endedAt, true }) == EndVerdict::Ended));
    BOOST_TEST((judge(1, { ProbeResult::Unknown, true, endedAt + Milliseconds(300), true }) == EndVerdict::Ended));
}
