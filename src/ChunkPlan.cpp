#include "ChunkPlan.h"

#include "Rendezvous.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace bilberry {

// Fetches that one process has open to one peer of its region, and to one of another region. In a region of many VMs
// there are fewer, which leaves a sender's link to the transfers that a whole region waits for.
static constexpr uint32_t maxFetchesPerPeer = 2;
static constexpr uint32_t maxFetchesPerPeerInLargeRegion = 1;
static constexpr std::ptrdiff_t largeRegionPeers = 4;
static constexpr uint32_t maxFetchesPerOtherRegionPeer = 2;
// Fetches from the origin and from other regions leave slots for those inside the region. The VMs of a large region use
// up the origin's rate with one fetch each; the fewer it serves at a time, the sooner the first chunks are whole.
static constexpr size_t maxOriginFetches = 3;
static constexpr size_t maxOriginFetchesInLargeRegion = 1;
static constexpr size_t maxOtherRegionFetches = 3;
// Ranks by which VMs far from the origin wait longer than those near it.
static constexpr uint32_t farOriginExtraRanks = 3;

std::vector<std::string> assignChunks(const std::vector<std::string>& digests, const std::vector<std::string>& members)
{
    size_t share = (digests.size() + members.size() - 1) / members.size();
    std::unordered_map<std::string, size_t> assigned;
    std::vector<std::string> first;
    first.reserve(digests.size());
    for (const auto& digest : digests) {
        auto ranked = rankMembers(digest, members, members.size());
        auto hasRoom = [&](const std::string& member) { return assigned[member] < share; };
        first.push_back(*std::find_if(ranked.begin(), ranked.end(), hasRoom));
        ++assigned[first.back()];
    }
    return first;
}

std::vector<ChunkRoute> makeRoutes(const std::vector<std::string>& digests, const std::vector<std::string>& members, const std::string& ownVm)
{
    auto first = assignChunks(digests, members);
    std::vector<ChunkRoute> routes(digests.size());
    for (size_t chunk = 0; chunk < digests.size(); ++chunk) {
        auto ranked = rankMembers(digests[chunk], members, members.size());
        auto position = std::find(ranked.begin(), ranked.end(), first[chunk]);
        std::rotate(ranked.begin(), position, position + 1);
        ChunkRoute& route = routes[chunk];
        route.rank = static_cast<uint32_t>(std::find(ranked.begin(), ranked.end(), ownVm) - ranked.begin());
        ranked.resize(std::min<size_t>(route.rank, maxPredecessors));
        route.predecessors = std::move(ranked);
    }
    return routes;
}

namespace {

// Positions of the peers by name, and what this plan has started.
struct PlanState {
    const ChunkPlanInput& input;
    TimePoint now;
    std::unordered_map<std::string, size_t> positions;
    std::vector<uint32_t> startedByPeer; ///< By peer.
    std::vector<uint32_t> holderCounts; ///< Peers that hold a chunk, by chunk.
    size_t originFetches = 0;
    size_t otherRegionFetches = 0;
    uint32_t maxPerPeer = maxFetchesPerPeer;
    size_t maxFromOrigin = maxOriginFetches;
};

} // namespace

static PlanState makePlanState(const ChunkPlanInput& input, TimePoint now)
{
    PlanState work { input, now, {}, std::vector<uint32_t>(input.peers.size(), 0), std::vector<uint32_t>(input.chunks.size(), 0), input.originFetches, input.otherRegionFetches };
    auto regionPeers = std::count_if(input.peers.begin(), input.peers.end(), [](const ChunkPeer& peer) { return peer.isSameRegion; });
    if (regionPeers >= largeRegionPeers) {
        work.maxPerPeer = maxFetchesPerPeerInLargeRegion;
        work.maxFromOrigin = maxOriginFetchesInLargeRegion;
    }
    for (size_t i = 0; i < input.peers.size(); ++i) {
        const ChunkPeer& peer = input.peers[i];
        work.positions.emplace(peer.vm, i);
        size_t known = std::min(peer.chunks.size(), input.chunks.size());
        for (size_t chunk = 0; chunk < known; ++chunk)
            work.holderCounts[chunk] += peer.chunks[chunk] ? 1 : 0;
    }
    return work;
}

static bool isUsable(const PlanState& work, const ChunkPeer& peer, size_t chunk)
{
    return chunk < peer.chunks.size() && peer.chunks[chunk] && peer.backedOffUntil <= work.now;
}

// The least used peer that has the chunk and is not at its bound; null when there is none.
static const ChunkPeer* chooseLeastLoadedPeer(const PlanState& work, size_t chunk, bool isSameRegion)
{
    const ChunkPeer* best = nullptr;
    uint32_t bestLoad = isSameRegion ? work.maxPerPeer : maxFetchesPerOtherRegionPeer;
    for (size_t i = 0; i < work.input.peers.size(); ++i) {
        const ChunkPeer& peer = work.input.peers[i];
        uint32_t load = peer.fetchesInProgress + work.startedByPeer[i];
        if (peer.isSameRegion != isSameRegion || load >= bestLoad || !isUsable(work, peer, chunk))
            continue;
        best = &peer;
        bestLoad = load;
    }
    return best;
}

// Whether to wait for the route's source: it is known, makes progress or has the chunk, and is not backed off.
static bool shouldWaitForSource(const PlanState& work, size_t chunk)
{
    auto position = work.positions.find(work.input.routes[chunk].source);
    if (position == work.positions.end())
        return false;
    const ChunkPeer& source = work.input.peers[position->second];
    if (isUsable(work, source, chunk))
        return true;
    auto waitFrom = std::max(work.input.chunks[chunk].wantedSince, source.lastProgress);
    return source.backedOffUntil <= work.now && work.now - waitFrom < takeoverDelay;
}

// The peer of another region to bring the chunk in from; null when there is none now.
static const ChunkPeer* chooseOtherRegionPeer(const PlanState& work, size_t chunk)
{
    if (!shouldWaitForSource(work, chunk))
        return chooseLeastLoadedPeer(work, chunk, false);
    size_t position = work.positions.at(work.input.routes[chunk].source);
    const ChunkPeer& source = work.input.peers[position];
    bool isFree = source.fetchesInProgress + work.startedByPeer[position] < maxFetchesPerOtherRegionPeer;
    return isFree && isUsable(work, source, chunk) ? &source : nullptr;
}

static bool isHeldInRegion(const PlanState& work, size_t chunk)
{
    return std::any_of(work.input.peers.begin(), work.input.peers.end(), [&](const ChunkPeer& peer) {
        return peer.isSameRegion && isUsable(work, peer, chunk);
    });
}

// Whether this VM may bring the chunk into its region now: the ones ahead have made no progress for long enough since
// they could have it. One that is backed off is not waited for.
static bool mayFetchIntoRegion(const PlanState& work, size_t chunk, uint32_t extraRanks)
{
    const ChunkRoute& route = work.input.routes[chunk];
    auto waitFrom = std::max(work.input.chunks[chunk].wantedSince, work.input.chunks[chunk].heldInOtherRegionSince);
    uint32_t rank = route.rank;
    for (const auto& vm : route.predecessors) {
        auto position = work.positions.find(vm);
        if (position == work.positions.end())
            continue;
        const ChunkPeer& peer = work.input.peers[position->second];
        if (peer.backedOffUntil > work.now)
            --rank;
        else
            waitFrom = std::max(waitFrom, peer.lastProgress);
    }
    return work.now - waitFrom >= takeoverDelay * static_cast<int>(rank + extraRanks);
}

static bool hasProgressed(const PlanState& work, const std::string& vm, Duration within)
{
    auto position = work.positions.find(vm);
    if (position == work.positions.end())
        return false;
    const ChunkPeer& peer = work.input.peers[position->second];
    return peer.backedOffUntil <= work.now && work.now - peer.lastProgress < within;
}

// Whether a VM far from the origin may go to it: also nobody on the way from there has made progress for so long. A
// source that waits for its own source receives nothing in the meantime.
static bool mayFetchFromFarOrigin(const PlanState& work, size_t chunk)
{
    const ChunkRoute& route = work.input.routes[chunk];
    auto patience = takeoverDelay * static_cast<int>(farOriginExtraRanks);
    auto isAlive = [&](const std::string& vm) { return hasProgressed(work, vm, patience); };
    if (isAlive(route.source) || std::any_of(route.upstream.begin(), route.upstream.end(), isAlive))
        return false;
    return mayFetchIntoRegion(work, chunk, farOriginExtraRanks);
}

// Missing chunks, the ones that fewest peers hold first; a hash of chunk and VM breaks ties, so that VMs differ.
static std::vector<size_t> orderByRarity(const PlanState& work)
{
    const ChunkPlanInput& input = work.input;
    std::vector<std::tuple<bool, uint32_t, uint64_t, size_t>> candidates;
    for (size_t chunk = 0; chunk < input.chunks.size(); ++chunk) {
        if (input.chunks[chunk].isHeld || input.chunks[chunk].isInProgress)
            continue;
        // What the whole region waits for goes first.
        bool isOthersTurn = input.routes[chunk].rank > 0;
        candidates.emplace_back(isOthersTurn, work.holderCounts[chunk], rendezvousScore(input.digests[chunk], input.ownVm), chunk);
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<size_t> order;
    order.reserve(candidates.size());
    for (const auto& candidate : candidates)
        order.push_back(std::get<3>(candidate));
    return order;
}

static ChunkFetch startPeerFetch(PlanState& work, size_t chunk, const ChunkPeer& peer)
{
    ++work.startedByPeer[static_cast<size_t>(&peer - work.input.peers.data())];
    if (!peer.isSameRegion)
        ++work.otherRegionFetches;
    return { chunk, peer.isSameRegion ? ChunkSource::SameRegion : ChunkSource::OtherRegion, peer.vm, peer.address };
}

// Adds the fetch of one chunk, when there is one to start.
static void planChunkFetch(PlanState& work, size_t chunk, std::vector<ChunkFetch>& fetches)
{
    if (const ChunkPeer* peer = chooseLeastLoadedPeer(work, chunk, true)) {
        fetches.push_back(startPeerFetch(work, chunk, *peer));
        return;
    }
    if (isHeldInRegion(work, chunk) || !mayFetchIntoRegion(work, chunk, 0))
        return;
    const ChunkPeer* remote = chooseOtherRegionPeer(work, chunk);
    if (remote && work.otherRegionFetches < maxOtherRegionFetches) {
        fetches.push_back(startPeerFetch(work, chunk, *remote));
        return;
    }
    bool isElsewhere = remote || shouldWaitForSource(work, chunk);
    if (isElsewhere || !work.input.isOriginUsable || work.originFetches >= work.maxFromOrigin)
        return;
    if (work.input.isOriginNear || mayFetchFromFarOrigin(work, chunk)) {
        ++work.originFetches;
        fetches.push_back({ chunk, ChunkSource::Origin, {}, {} });
    }
}

void updateHeldInOtherRegion(std::vector<ChunkState>& chunks, const std::vector<ChunkPeer>& peers, TimePoint now)
{
    for (size_t chunk = 0; chunk < chunks.size(); ++chunk) {
        ChunkState& state = chunks[chunk];
        bool isElsewhere = std::any_of(peers.begin(), peers.end(), [&](const ChunkPeer& peer) {
            return !peer.isSameRegion && chunk < peer.chunks.size() && peer.chunks[chunk] && peer.backedOffUntil <= now;
        });
        if (!isElsewhere)
            state.heldInOtherRegionSince = {};
        else if (state.heldInOtherRegionSince == TimePoint {})
            state.heldInOtherRegionSince = now;
    }
}

std::vector<ChunkFetch> planFetches(const ChunkPlanInput& input, size_t slots, TimePoint now)
{
    std::vector<ChunkFetch> fetches;
    auto work = makePlanState(input, now);
    for (size_t chunk : orderByRarity(work)) {
        if (fetches.size() >= slots)
            break;
        planChunkFetch(work, chunk, fetches);
    }
    return fetches;
}

} // namespace bilberry
