/// Decides which missing weight chunks a VM fetches next, and whether it fetches each from a peer, and which, or from the
/// origin. The plan is designed for the case in which many VMs fetch the same version at the same time: without faults each
/// chunk leaves the origin once and enters each other region once. Pure functions without I/O; WeightAgent carries the plan
/// out. A chunk is identified by its digest. The pieces of PieceSources.h, which AgentNode fetches, are identified by their
/// numbers.
#pragma once

#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// Another VM from which this one may fetch chunks.
struct ChunkPeer {
    std::string vm;
    std::string address; ///< IP:port of the system's process on the VM.
    bool isSameRegion = true;
    std::vector<bool> chunks; ///< By position in the manifest: whether the peer holds the chunk.
    uint32_t fetchesInProgress = 0; ///< Fetches of this process from the peer.
    TimePoint backedOffUntil {}; ///< End of the backoff after a failure; the peer is not asked before.
    TimePoint lastProgress {}; ///< When the number of bytes that the peer has received was last seen to grow.
};

/// State of one chunk on this VM.
struct ChunkState {
    bool isHeld = false;
    bool isInProgress = false;
    TimePoint wantedSince {}; ///< Since when this VM wants the chunk.
    TimePoint heldInOtherRegionSince {}; ///< Since when a VM of another region that isn't in a backoff holds it; unset: none does.
};

/// Which VMs bring one chunk into this VM's region: the region's VMs in rendezvous order, where the later ones take over from
/// the earlier ones.
struct ChunkRoute {
    uint32_t rank = 0; ///< Position of this VM; the VM of rank 0 brings the chunk in, and the next ones take over in turn.
    std::vector<std::string> predecessors; ///< The first VMs of the order before this one, at most maxPredecessors.
    std::string source; ///< VM of another region from which the chunk is brought in; empty: any that holds it.
    std::vector<std::string> upstream; ///< VMs that bring the chunk into the regions that precede the source's (see chunkRegionOrder()).
};

/// Maximum number of VMs whose progress is awaited before this one brings a chunk into the region.
constexpr size_t maxPredecessors = 3;

/// Returns for each chunk the VM that fetches it into the region whose VMs are `members`: the first in rendezvous order that
/// has not been given its equal share of the chunks yet. The result is equal on all processes with the same lists.
/// Precondition: `members` is not empty. Thread safe.
std::vector<std::string> assignChunks(const std::vector<std::string>& digests, const std::vector<std::string>& members);

/// Returns the routes of all chunks, without sources and upstream VMs. Precondition: `members` are the region's VMs with the
/// model, this one included. Thread safe.
std::vector<ChunkRoute> makeRoutes(const std::vector<std::string>& digests, const std::vector<std::string>& members, const std::string& ownVm);

/// Input of planFetches(). Precondition: `chunks`, `routes` and `digests` have the same size.
struct ChunkPlanInput {
    const std::vector<ChunkState>& chunks;
    const std::vector<ChunkRoute>& routes; ///< By position in the manifest, like `chunks`.
    const std::vector<std::string>& digests; ///< By position in the manifest, like `chunks`.
    const std::vector<ChunkPeer>& peers;
    const std::string& ownVm;
    bool isOriginNear = true; ///< Whether this region is the origin's, or the origin's region has no VM with the model.
    bool isOriginUsable = true; ///< Whether the origin may be asked now; it may not during a backoff.
    size_t originFetches = 0; ///< Fetches of this process from the origin that are in progress.
    size_t otherRegionFetches = 0; ///< Fetches of this process from other regions that are in progress.
};

/// Where a chunk is fetched from.
enum class ChunkSource : uint8_t { SameRegion, ///< A VM of the same region.
    OtherRegion, ///< A VM of another region.
    Origin };

/// One fetch to start. The peer fields are empty for the origin.
struct ChunkFetch {
    size_t chunk = 0;
    ChunkSource source = ChunkSource::Origin;
    std::string peerVm;
    std::string peerAddress;
};

/// When the VM that is to bring a chunk into the region makes no progress for this long, the next VM takes over.
constexpr Milliseconds takeoverDelay { 1500 };

/// Updates `heldInOtherRegionSince` of all chunks; must be called before planFetches(). Thread safe.
void updateHeldInOtherRegion(std::vector<ChunkState>&, const std::vector<ChunkPeer>&, TimePoint now);

/// Chooses at most `slots` fetches. Chunks for which this VM has rank 0 come first, then those that fewest peers hold. Each
/// is fetched from the least loaded peer of this VM's region that holds it, if there is one. A chunk that no peer of the
/// region holds, except in a backoff, is brought in by the first VM of its route, from the route's source while that makes
/// progress, else from any other region or from the origin. The other VMs take over one after the other, so that they don't
/// all fetch it from outside at once: the VM of rank N waits for N takeover delays since it wants the chunk, since a VM of
/// another region holds it, and since a predecessor made progress, whichever is latest. Predecessors in a backoff are left
/// out of the rank. Thread safe.
std::vector<ChunkFetch> planFetches(const ChunkPlanInput&, size_t slots, TimePoint now);

} // namespace bilberry
