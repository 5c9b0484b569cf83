/// Which missing chunks to fetch next and from whom. Pure decisions; WeightAgent carries them out.
#pragma once

#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// A process that may pass chunks on.
struct ChunkPeer {
    std::string vm;
    std::string address;
    bool isSameRegion = true;
    std::vector<bool> chunks; ///< Which it holds, by position in the manifest.
    uint32_t fetchesInProgress = 0; ///< Of this process, from it.
    TimePoint backedOffUntil {}; ///< Not asked before.
    TimePoint lastProgress {}; ///< When its received bytes were last seen to grow.
};

/// State of one missing chunk.
struct ChunkState {
    bool isHeld = false;
    bool isInProgress = false;
    TimePoint wantedSince {};
    TimePoint heldInOtherRegionSince {}; ///< When a usable VM of another region was first seen to hold it; unset: none does.
};

/// Who brings one chunk into this VM's region: the region's VMs in rendezvous order.
struct ChunkRoute {
    uint32_t rank = 0; ///< Of this VM; 0 brings the chunk in, the next ones replace it in turn.
    std::vector<std::string> predecessors; ///< VMs before this one, best first, at most maxRouteDepth of them.
    std::string source; ///< VM of another region to bring the chunk in from; empty: any that has it.
    std::vector<std::string> upstream; ///< VMs that bring the chunk into the regions before the source's.
};

/// VMs of a region that may be waited for before this one brings a chunk in.
constexpr size_t maxPredecessors = 3;

/// For each chunk the member that brings it in: the first in rendezvous order that has no more than its equal share of
/// the chunks yet. Equal on all processes with the same lists. Precondition: there are members. Thread safe.
std::vector<std::string> assignChunks(const std::vector<std::string>& digests, const std::vector<std::string>& members);

/// The routes of all chunks, with no source. Precondition: `members` are the region's VMs with the model, this one included.
/// Thread safe.
std::vector<ChunkRoute> makeRoutes(const std::vector<std::string>& digests, const std::vector<std::string>& members, const std::string& ownVm);

/// What the plan needs to know.
struct ChunkPlanInput {
    const std::vector<ChunkState>& chunks;
    const std::vector<ChunkRoute>& routes; ///< By position, as the chunks.
    const std::vector<std::string>& digests; ///< By position, as the chunks.
    const std::vector<ChunkPeer>& peers;
    const std::string& ownVm;
    bool isOriginNear = true; ///< This region is the origin's, or the origin's has no VM with the model.
    bool isOriginUsable = true; ///< The origin is not backed off.
    size_t originFetches = 0; ///< In progress, of this process.
    size_t otherRegionFetches = 0; ///< In progress from other regions.
};

/// Where a chunk is fetched from.
enum class ChunkSource : uint8_t { SameRegion, ///< A VM of the same region.
    OtherRegion, ///< A VM of another region.
    Origin };

/// One fetch to start. Peer fields are empty for the origin.
struct ChunkFetch {
    size_t chunk = 0;
    ChunkSource source = ChunkSource::Origin;
    std::string peerVm;
    std::string peerAddress;
};

/// How long a VM waits without progress of the one that is to bring a chunk into the region, before it does so itself.
constexpr Milliseconds takeoverDelay { 1500 };

/// Brings `seenElsewhereSince` of the missing chunks up to date; call it before planFetches(). Thread safe.
void updateHeldInOtherRegion(std::vector<ChunkState>&, const std::vector<ChunkPeer>&, TimePoint now);

/// Chooses at most `slots` fetches: chunks that few peers hold first, each from the least used peer of the region that
/// has it. A chunk that no usable peer of the region has is brought in by the first VM of its route, from the route's
/// source while that makes progress, else from any other region or from the origin; the others wait as long as the ones
/// ahead of them make progress or could not have the chunk yet, and then replace them one after the other, without a
/// stampede. Thread safe.
std::vector<ChunkFetch> planFetches(const ChunkPlanInput&, size_t slots, TimePoint now);

} // namespace bilberry
