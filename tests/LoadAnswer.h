/// Checks of the load generator: whether an answer is complete and belongs to the request for which it was received.
#pragma once

#include "LoadRequest.h"
#include <optional>
#include <set>

namespace bilberry::standin {

/// The result of checking one answer.
enum class Verdict { Ok,
    Refused, ///< The answer is an error status or an error event.
    Lost, ///< No answer was received.
    Truncated, ///< The answer is a prefix of the right one, or it ended before it was complete.
    Wrong, ///< The answer belongs to another request, or its events are out of order.
    VersionMismatch }; ///< The answer comes from several versions of the weights, or from one that isn't expected.

/// The result of one attempt.
struct Answer {
    int status = 0; ///< The HTTP status; 0 if no answer was received.
    Verdict verdict = Verdict::Lost;
    std::string reason; ///< The reason of a refusal; empty otherwise.
    std::string outcome;
    std::string body;
    std::set<std::string> fingerprints;
    std::optional<TimePoint> firstByteTime; ///< When the first bytes of the body arrived.
    bool isTransportError = false;
};

/// Checks an answer and sets its verdict, and for a refusal its reason and outcome as well. If the list of expected
/// fingerprints is empty, any fingerprint is accepted. Thread safe.
void checkAnswer(const RequestPlan&, const std::vector<std::string>& expectedFingerprints, const Call&, Answer&);

} // namespace bilberry::standin
