/// When a starting process may act on the configuration it holds: after it has asked its peers and the service, or
/// when they take too long.
#pragma once

#include "Types.h"

namespace bilberry {

/// Longest wait for those asked at start that have not answered, once a configuration is held.
constexpr Milliseconds startTimeout { 3000 };
/// First reads of the service are spread over this time, so that a fleet that starts at once keeps its call rate.
constexpr Milliseconds firstReadJitter { 1000 };

struct StartProgress {
    TimePoint startedAt;
    bool hasConfiguration = false;
    bool hasAskedPeers = false; ///< Each seed has answered or failed, and what it was ahead by was fetched.
    bool hasAskedService = false; ///< It has answered or failed.
};

/// Whether the process may act. Thread safe.
bool mayStart(const StartProgress&, TimePoint now);

} // namespace bilberry
