/// The messages that entries send each other and the notices that agents send to entries, each encoded as MessagePack in one
/// datagram.
#pragma once

#include "CrashHistory.h"
#include "RefusalHistory.h"
#include "StoreVersion.h"
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

/// A notice on an engine, sent by the agent on the same VM: it serves a version, it accepts no requests because of a version switch
/// (no version is set), or its layers aren't to be used.
struct EngineNotice {
    std::string address; ///< The engine's address as IP:port.
    uint32_t version = 0; ///< The version that it serves now; zero while it is to get no requests.
    uint64_t sequence = 0; ///< Increases with each notice on one engine; the Unix time in milliseconds, or a little more.
    uint32_t unusableVersion = 0; ///< Layers of up to this version aren't to be used; zero with any other notice.
};

/// An entry that the sender of a message knows.
struct KnownPeer {
    std::string ip;
    std::string dataCentre; ///< Empty when the sender doesn't know it.
};

/// The requests that the entries of one data centre have at endpoints, added up by one of them for the other data centres.
struct DataCentreDigest {
    std::string dataCentre;
    std::vector<std::string> contacts; ///< IP addresses of the entry that made it, and of some others there.
    uint32_t entryCount = 0; ///< The number of entries there that may be alive.
    Milliseconds age { 0 }; ///< Time since the digest was made.
    std::vector<PeerLoad> loads;
};

/// Layouts of encoded messages. Entries of the previous release send and understand only the older one, which has no digests
/// and states no data centres of peers.
enum class PeerMessageLayout : uint8_t {
    WithoutDigests = 3,
    WithDigests = 4,
};

/// The state that an entry sends to the others.
struct PeerMessage {
    PeerMessageLayout layout = PeerMessageLayout::WithDigests;
    /// Identifies the run of the sending process: the microseconds of the boot clock at its start. It is higher after a
    /// restart of the process, but may be lower after a reboot of the VM.
    uint64_t incarnation = 0;
    uint64_t sequence = 0; ///< Increases with each message of an incarnation.
    bool isStopping = false;
    Milliseconds viewAge { 0 }; ///< The age of the sender's cluster view.
    std::string dataCentre; ///< The sender's data centre.
    std::vector<PeerLoad> loads; ///< All loads that aren't zero.
    bool wantsPeers = false; ///< Whether the sender asks for a list of the entries of its data centre.
    std::vector<KnownPeer> peers; ///< Some of the entries that the sender has recently heard from.
    std::vector<DataCentreDigest> digests; ///< Digests of data centres that the receiver isn't in.
    std::vector<CrashReport> crashes; ///< Recent crashes of endpoints.
    std::vector<EngineNotice> notices; ///< Recent notices from agents.
    std::vector<RefusedRequest> refusals; ///< Recently refused requests.
    /// Hashes of engines that have recently refused a request because of a version switch.
    std::vector<uint32_t> switchingEngines;
    StoreVersion storeVersion; ///< What the sender's cluster view reflects of the store.
    uint64_t generation = 0; ///< The generation of the sender's configuration; zero if it has none.
};

/// Largest datagram that is sent or received, in bytes.
constexpr size_t maxPeerMessageBytes = 8 << 10;

/// Returns the hash of an endpoint's id, which is the same in all processes. Thread safe.
uint32_t endpointHash(const std::string& id);
/// Encodes the message in its layout; a load above 255 is encoded as 255. Thread safe.
std::string encodePeerMessage(const PeerMessage&);
/// Returns InvalidArgument for bytes that aren't a message of one of the layouts. Thread safe.
absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& bytes);

/// Encodes a notice as a datagram of its own, as agents send it. Thread safe.
std::string encodeNotice(const EngineNotice&);
/// Returns InvalidArgument for bytes that aren't a notice. Thread safe.
absl::StatusOr<EngineNotice> decodeNotice(const std::string& bytes);

} // namespace bilberry
