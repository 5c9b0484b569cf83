/// Judges an answer that ended with its connection. The system closes the connections of a process that is killed in the same way,
/// so that such an answer is whole only if its endpoint lived on.
#pragma once

#include "AttemptPolicy.h"
#include "ConnectionProbe.h"
#include "Types.h"

namespace bilberry {

/// The check of one such answer. Used by one thread at a time.
struct AnswerEnd {
    AttemptResult result = AttemptResult::Lost; ///< Result of the attempt if the endpoint lived on.
    TimePoint endedAt {};
    int probes = 0; ///< Number of probes of the endpoint that have ended since then.
};

/// What is known of the endpoint once a probe of it has ended.
struct EndEvidence {
    ProbeResult probe = ProbeResult::Unknown;
    bool hasRestarted = false; ///< Whether a later start of the endpoint than the one that the attempt was sent to is known.
    TimePoint heardAt {}; ///< When the endpoint last sent bytes of any answer.
    bool mayRunAgain = false; ///< Whether the request may run once more.
};

enum class EndVerdict : uint8_t {
    LivesOn, ///< The answer is whole.
    Ended, ///< The answer may lack a part, and the endpoint ended.
    Unreached, ///< The answer may lack a part, and nothing shows that the endpoint ended.
    ProbeAgain,
};

/// Judges the end of the answer. Pure and thread safe.
EndVerdict judgeAnswerEnd(const AnswerEnd&, const EndEvidence&);

} // namespace bilberry
