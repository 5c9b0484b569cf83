/// After which time a request should be sent again that was refused for reasons other than the load.
#pragma once

#include "Types.h"

namespace bilberry {

/// The entry has no configuration yet.
constexpr Milliseconds noConfigurationRetryAfter { 200 };
/// The entry doesn't know whether the request's key has been revoked.
constexpr Milliseconds revocationsUnknownRetryAfter { 1000 };
/// The request, or a part of its prompt, crashes endpoints.
constexpr Milliseconds crashingRequestRetryAfter { 60'000 };

} // namespace bilberry
