/// The messages that entries send each other and the notices that agents send to entries, each encoded as MessagePack in one
/// datagram.
#pragma once

#include "CrashHistory.h"
#include "RefusalHistory.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace bilberry {

/// The number of requests that the sender has at an endpoint.
struct PeerLoad {
    uint32_t endpoint = 0; ///< The hash of the endpoint's id, see endpointHash().
    uint32_t inFlight = 0;
};

/// A notice that an engine begins or has finished a version switch, sent by the agent on the same VM.
struct EngineNotice {
    std::string address; ///< The engine's address as IP:port.
    uint32_t version = 0; ///< The version that it serves now; zero while it accepts no requests because of a version switch.
    uint64_t sequence = 0; ///< Increases with each notice on one engine.
};

/// The state that an entry sends to the others.
struct PeerMessage {
    /// Identifies the run of the sending process: the microseconds of the boot clock at its start. It is higher after a
    /// restart of the process, but may be lower after a reboot of the VM.
    uint64_t incarnation = 0;
    uint64_t sequence = 0; ///< Increases with each message of an incarnation.
    bool isStopping = false;
    Milliseconds viewAge { 0 }; ///< The age of the sender's cluster view.
    std::string dataCentre; ///< The sender's data centre.
    std::vector<PeerLoad> loads; ///< All loads that aren't zero.
    std::vector<std::string> peers; ///< IP addresses of entries that the sender has recently heard from.
    std::vector<CrashReport> crashes; ///< Recent crashes of endpoints.
    std::vector<EngineNotice> notices; ///< Recent notices from agents.
    std::vector<RefusedRequest> refusals; ///< Recently refused requests.
};

/// Largest datagram that is sent or received, in bytes.
constexpr size_t maxPeerMessageBytes = 8 << 10;

/// Returns the hash of an endpoint's id, which is the same in all processes. Thread safe.
uint32_t endpointHash(const std::string& id);
/// Encodes the message; a load above 255 is encoded as 255. Thread safe.
std::string encodePeerMessage(const PeerMessage&);
/// Returns InvalidArgument for bytes that aren't a message of this layout. Thread safe.
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& bytes);

/// Encodes a notice as a datagram of its own, as agents send it. Thread safe.
std::string encodeNotice(const EngineNotice&);
/// Returns InvalidArgument for bytes that aren't a notice. Thread safe.
absl::StatusOr<EngineNotice> decodeNotice(const std::string& bytes);

} // namespace bilberry
