/// Baseline policy for benchmarks, with which the real policy is compared: round robin, a fixed number of retries and no
/// admission limit.
#pragma once

#include "Routing.h"

namespace bilberry {

/// Whether the flag --simple_request_policy is set. Thread safe once the command line is parsed.
bool usesSimplePolicy();

/// Maximum attempts of one request under the simple policy.
constexpr int simplePolicyMaxAttempts = 3;
/// Admission limit under the simple policy; too high to be reached.
constexpr uint32_t simplePolicyAdmissionLimit = 1000;

/// Chooses round robin among all endpoints that can serve the target, whatever their locality; returns noRow when there is
/// none. `turn` is the position in the sequence. Thread safe.
RowIndex chooseRoundRobin(const RoutingTable&, const RoutingTarget&, const std::vector<RowIndex>& excluded, uint64_t turn);

} // namespace bilberry
