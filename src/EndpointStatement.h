/// What an endpoint has stated about itself in its answers: that it leaves, and until when it wants no requests from this
/// entry. A statement holds for one run of the endpoint, whatever the platform's store says.
#pragma once

#include "Types.h"

#include <cstdint>
#include <string_view>

namespace bilberry {

/// Used by one thread at a time.
struct EndpointStatement {
    /// When the run that this is about started, by the endpoint's records; the default value while no record has stated it.
    WallTime startedAt {};
    bool isLeaving = false;
    TimePoint noRequestsUntil {}; ///< Until when the endpoint wants no requests from this entry.
    bool isEndReported = true; ///< Whether the end of that time has been reported.
};

/// Why an endpoint gets no requests by its own statement.
enum class SetAsideReason : uint8_t {
    Leaving,
    RetryAfter,
};

/// Name of the reason in logs and metrics. Thread safe.
std::string_view toText(SetAsideReason);

/// Records the start of the run that a record describes. A later run than the known one has stated nothing yet; an earlier one
/// changes nothing. Returns whether a statement in force ended.
bool noteRun(EndpointStatement&, WallTime startedAt, TimePoint now);
/// Records that the endpoint leaves. Returns whether this is new.
bool noteLeaving(EndpointStatement&);
/// Records that the endpoint wants no requests for `retryAfter`, which is limited to maxRetryAfter. A longer time in force isn't
/// shortened. Returns whether the endpoint wanted requests before.
bool noteRetryAfter(EndpointStatement&, Milliseconds retryAfter, TimePoint now);
/// Whether the endpoint may get no new request. Thread safe while the statement does not change.
bool isSetAside(const EndpointStatement&, TimePoint now);
/// Largest number of requests that may be in flight at the endpoint, of `limit` in normal operation. It rises for a short time
/// after noRequestsUntil, so that waiting requests don't all reach the endpoint at once. Thread safe while the statement does
/// not change.
double limitAfterReturn(const EndpointStatement&, double limit, TimePoint now);
/// Delay with jitter after which a request should be sent again that was refused because all endpoints are set aside until
/// `earliestReturn`, which is TimePoint::max() if all of them leave. `random` is uniform. Thread safe.
Milliseconds retryAfterSetAside(TimePoint earliestReturn, TimePoint now, uint64_t random);

/// Longest time for which an endpoint is set aside by one Retry-After.
constexpr Milliseconds maxRetryAfter { 300'000 };

} // namespace bilberry
