/// What entries tell each other, as bytes of a datagram (MessagePack).
#pragma once

#include "CrashHistory.h"
#include "RefusalHistory.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <vector>

namespace bilberry {

/// Requests that the sender has at an endpoint.
struct PeerLoad {
    uint32_t endpoint = 0; ///< Hash of its id.
    uint32_t inFlight = 0;
};

/// An engine that turns to other weights or has turned, as the agent beside it says.
struct EngineNotice {
    std::string address; ///< IP:port of the engine.
    uint32_t version = 0; ///< That it serves now; zero: it takes nothing more until it has turned.
    uint64_t sequence = 0; ///< Grows with each notice of one engine.
};

struct PeerMessage {
    uint64_t incarnation = 0; ///< Of the sending process; higher after a restart.
    uint64_t sequence = 0; ///< Grows with each message of an incarnation.
    bool isStopping = false;
    Milliseconds viewAge { 0 }; ///< Of what it knows from the store.
    std::string dataCentre; ///< Of the sender.
    std::vector<PeerLoad> loads; ///< All that aren't zero.
    std::vector<std::string> peers; ///< IP numbers of entries that it has heard of lately.
    std::vector<CrashReport> crashes; ///< Of the last moments.
    std::vector<EngineNotice> notices; ///< Of the last moments, from agents.
    std::vector<RefusedRequest> refusals; ///< Of the last moments.
};

/// Largest datagram that is sent or taken, in bytes.
constexpr size_t maxPeerMessageBytes = 8 << 10;

/// Hash of an endpoint's id, the same in all processes. Thread safe.
uint32_t endpointHash(const std::string& id);
std::string encodePeerMessage(const PeerMessage&);
/// Fails for bytes that are no such message. Thread safe.
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& bytes);

/// A notice as an agent sends it, and as it is read. Thread safe.
std::string encodeNotice(const EngineNotice&);
absl::StatusOr<EngineNotice> decodeNotice(const std::string& bytes);

} // namespace bilberry
