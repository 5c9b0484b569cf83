/// Checks of the load generator: whether an answer is whole, and the one to its own request.
#pragma once

#include "LoadRequest.h"
#include <optional>
#include <set>

namespace bilberry::standin {

enum class Verdict { Ok,
    Refused, ///< Visibly, by status or error event.
    Lost, ///< No answer.
    Truncated, ///< The start of the right answer.
    Wrong, ///< Another request's answer, or events out of order.
    VersionMismatch }; ///< Of several versions, or of one that is not expected.

/// What one attempt brought.
struct Answer {
    int status = 0; ///< 0 without an answer.
    Verdict verdict = Verdict::Lost;
    std::string reason; ///< Of a refusal.
    std::string outcome;
    std::string body;
    std::set<std::string> fingerprints;
    std::optional<TimePoint> firstByteTime; ///< When the body began to come.
    bool isTransportError = false;
};

/// Sets the verdict, and of a refusal its reason and outcome; any fingerprint is expected when the list is empty.
/// Thread safe.
void checkAnswer(const RequestPlan&, const std::vector<std::string>& expectedFingerprints, const Call&, Answer&);

} // namespace bilberry::standin
