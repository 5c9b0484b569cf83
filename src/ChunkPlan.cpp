#include "ChunkPlan.h"

#include "Rendezvous.h"

#include <algorithm>
#include <tuple>

namespace bilberry {

// Fetches that one process has open to one peer.
static constexpr uint32_t maxFetchesPerPeer = 2;
// How long each rank waits for the ones before it to bring a chunk from the origin.
static constexpr Milliseconds holderPatience { 2000 };

// The position of this VM among the ones that may bring the chunk from the origin.
static size_t holderRank(const ChunkPlanInput& input, const std::string& digest)
{
    uint64_t own = rendezvousScore(digest, input.ownVm);
    auto isHigher = [&](const std::string& vm) { return rendezvousScore(digest, vm) > own; };
    return static_cast<size_t>(std::count_if(input.holders.begin(), input.holders.end(), isHigher));
}

static const ChunkPeer* choosePeer(const ChunkPlanInput& input, size_t chunk, const std::vector<uint32_t>& started, TimePoint now)
{
    const ChunkPeer* best = nullptr;
    auto cost = [&](const ChunkPeer& peer) {
        uint32_t load = peer.fetchesInProgress + started[static_cast<size_t>(&peer - input.peers.data())];
        return std::make_pair(!peer.isSameRegion, load);
    };
    for (const auto& peer : input.peers) {
        bool hasChunk = chunk < peer.chunks.size() && peer.chunks[chunk];
        if (!hasChunk || peer.backedOffUntil > now || cost(peer).second >= maxFetchesPerPeer)
            continue;
        if (!best || cost(peer) < cost(*best))
            best = &peer;
    }
    return best;
}

static size_t countHolders(const ChunkPlanInput& input, size_t chunk)
{
    return static_cast<size_t>(std::count_if(input.peers.begin(), input.peers.end(), [&](const ChunkPeer& peer) {
        return chunk < peer.chunks.size() && peer.chunks[chunk];
    }));
}

// Missing chunks, the ones that fewest peers hold first; a hash of chunk and VM breaks ties, so that VMs differ.
static std::vector<size_t> orderByRarity(const ChunkPlanInput& input)
{
    struct Candidate {
        size_t chunk;
        size_t holders;
        uint64_t tieBreak;
    };
    std::vector<Candidate> candidates;
    for (size_t chunk = 0; chunk < input.chunks.size(); ++chunk) {
        if (!input.chunks[chunk].isHeld && !input.chunks[chunk].isInProgress)
            candidates.push_back({ chunk, countHolders(input, chunk), rendezvousScore(input.digests[chunk], input.ownVm) });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& first, const Candidate& second) {
        return std::tie(first.holders, first.tieBreak) < std::tie(second.holders, second.tieBreak);
    });
    std::vector<size_t> order;
    order.reserve(candidates.size());
    for (const auto& candidate : candidates)
        order.push_back(candidate.chunk);
    return order;
}

std::vector<ChunkFetch> planFetches(const ChunkPlanInput& input, size_t slots, TimePoint now)
{
    std::vector<ChunkFetch> fetches;
    std::vector<uint32_t> started(input.peers.size(), 0);
    for (size_t chunk : orderByRarity(input)) {
        if (fetches.size() >= slots)
            break;
        if (const ChunkPeer* peer = choosePeer(input, chunk, started, now)) {
            ++started[static_cast<size_t>(peer - input.peers.data())];
            fetches.push_back({ chunk, peer->vm, peer->address });
            continue;
        }
        bool isKnownElsewhere = countHolders(input, chunk) > 0;
        auto patience = holderPatience * static_cast<int>(holderRank(input, input.digests[chunk]) + (isKnownElsewhere ? 1 : 0));
        if (input.originAllowed && now - input.chunks[chunk].wantedSince >= patience)
            fetches.push_back({ chunk, {}, {} });
    }
    return fetches;
}

} // namespace bilberry
