/// Events about endpoints that entries tell each other apart from their state, in a datagram of its own. Entries of the previous
/// release drop it.
#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace bilberry {

/// What one request showed about a part of its prompt.
struct PartEvidence {
    uint64_t part = 0; ///< Hash of the part's identifier.
    /// runHash() of an endpoint's run that crashed while it ran a request with the part; zero when an answer to a request with
    /// the part was completed, which clears it.
    uint32_t crashedEndpoint = 0;
    uint32_t clearance = 0; ///< Random number that tells clearances of the same part apart; zero for a crash.
};

struct EndpointEvents {
    std::string dataCentre; ///< The sender's data centre.
    std::vector<PartEvidence> partEvidence;
    std::vector<uint32_t> leavingEndpoints; ///< Hashes of the runs of endpoints (runHash()) that have stated that they leave.
    std::vector<uint32_t> slowEndpoints; ///< Hashes of the ids of endpoints that requests lately reached late.
};

/// Whether there are no events.
bool isEmpty(const EndpointEvents&);

/// Encodes the events as a datagram. Thread safe.
std::string encodeEndpointEvents(const EndpointEvents&);
/// Returns InvalidArgument for bytes that aren't events about endpoints. Thread safe.
absl::StatusOr<EndpointEvents> decodeEndpointEvents(const std::string& bytes);

} // namespace bilberry
