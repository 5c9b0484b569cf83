/// Decides when a starting process may act on the configuration it holds: after it has asked its peers and the
/// configuration service for a newer one, or when they take too long to answer.
#pragma once

#include "Types.h"

namespace bilberry {

/// Longest time after the start for which a process that holds a configuration waits for its peers and the service to answer.
constexpr Milliseconds startTimeout { 3000 };
/// Range of the random delay before a process first reads the service. It bounds the call rate when a whole fleet starts at
/// once.
constexpr Milliseconds firstReadJitter { 1000 };

/// How far a process has come with its start.
struct StartProgress {
    TimePoint startedAt;
    bool hasConfiguration = false;
    bool arePeersDone = false; ///< Each seed has answered or failed, and the newer documents it held were fetched.
    bool isServiceDone = false; ///< The configuration service has answered or failed.
};

/// Returns whether the process may act on its configuration. Thread safe.
bool mayStart(const StartProgress&, TimePoint now);

} // namespace bilberry
