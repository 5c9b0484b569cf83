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
};

/// State of one missing chunk.
struct ChunkState {
    bool isHeld = false;
    bool isInProgress = false;
    TimePoint wantedSince {};
};

/// What the plan needs to know.
struct ChunkPlanInput {
    const std::vector<ChunkState>& chunks;
    const std::vector<ChunkPeer>& peers;
    const std::vector<std::string>& holders; ///< VMs that may go to the origin, this one included.
    const std::vector<std::string>& digests; ///< Of the chunks, by position.
    const std::string& ownVm;
    bool originAllowed = true;
};

/// One fetch to start. An empty peer means the origin.
struct ChunkFetch {
    size_t chunk = 0;
    std::string peerVm;
    std::string peerAddress;
};

/// Chooses at most `slots` fetches: chunks that few peers hold first, each from the least used peer that has it, those
/// of the own region first. A chunk that no peer has comes from the origin when this VM is its rendezvous holder, or
/// after a wait that grows with the VM's rank, so that a dead holder is replaced without a stampede. Thread safe.
std::vector<ChunkFetch> planFetches(const ChunkPlanInput&, size_t slots, TimePoint now);

} // namespace bilberry
