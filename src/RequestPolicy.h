/// A simple policy that measurements compare the real one with: round robin, fixed retries, no admission limit.
#pragma once

#include "Routing.h"

namespace bilberry {

/// Whether the flag --simple_request_policy is set. Thread safe after the command line was read.
bool usesSimplePolicy();

/// Attempts of one request under the simple policy.
constexpr int simplePolicyMaxAttempts = 3;
/// Admission bounds under the simple policy: none that matters.
constexpr uint32_t simplePolicyAdmissionLimit = 1000;

/// The next endpoint in turn of those that can serve, near or far; noRow when there is none. Thread safe.
RowIndex chooseRoundRobin(const RoutingTable&, const RoutingTarget&, const std::vector<RowIndex>& excluded, uint64_t turn);

} // namespace bilberry
