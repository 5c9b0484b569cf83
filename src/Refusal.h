/// Refusals as callers and processes see them: names, HTTP status codes, Retry-After and problem details (RFC 9457).
#pragma once

#include "Types.h"

#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

/// Why a request was not answered by its back end, and what the caller is told.
struct Refusal {
    RefusalReason reason = RefusalReason::None;
    Outcome outcome = Outcome::NotRun;
    Milliseconds retryAfter { 0 }; ///< Time after which the caller may retry; zero when a retry is pointless.
};

/// Names on the wire, such as "not-run" and "overloaded". Thread safe.
std::string_view toText(Outcome);
std::string_view toText(RefusalReason);
/// Parses a name on the wire; returns nothing for an unknown name. Thread safe.
std::optional<Outcome> parseOutcome(std::string_view);
std::optional<RefusalReason> parseRefusalReason(std::string_view);

/// Makes the refusal with the outcome and retry-after time that belong to the reason. Thread safe.
Refusal makeRefusal(RefusalReason);

/// HTTP status code of the refusal's reason. Thread safe.
int httpStatus(const Refusal&);

/// Problem details (RFC 9457) as JSON text. Thread safe.
std::string problemDetails(const Refusal&);

/// Whether another endpoint may be tried: no process ran the request, and another process may be able to. Thread safe.
bool mayRetryElsewhere(const Refusal&);

} // namespace bilberry
