/// Refusals as callers and processes see them: names, HTTP statuses, retry-after and problem details (RFC 9457).
#pragma once

#include "Types.h"

#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

/// A typed answer to a request that got no answer of its back end.
struct Refusal {
    RefusalReason reason = RefusalReason::None;
    Outcome outcome = Outcome::NotRun;
    Milliseconds retryAfter { 0 }; ///< Zero where coming back makes no sense.
};

/// Names on the wire, such as "not-run" and "overloaded". Thread safe.
std::string_view toText(Outcome);
std::string_view toText(RefusalReason);
/// The inverse; nothing for an unknown name. Thread safe.
std::optional<Outcome> parseOutcome(std::string_view);
std::optional<RefusalReason> parseRefusalReason(std::string_view);

/// The refusal with the outcome and retry-after that the reason calls for. Thread safe.
Refusal makeRefusal(RefusalReason);

/// HTTP status that goes with it. Thread safe.
int httpStatus(const Refusal&);

/// Problem details as JSON text. Thread safe.
std::string problemDetails(const Refusal&);

/// Whether another endpoint may be tried: no process ran the request, and another may be able to. Thread safe.
bool mayRetryElsewhere(const Refusal&);

} // namespace bilberry
