#include "ChunkPlan.h"

#include "Rendezvous.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace bilberry {

// Limits of concurrent fetches of one process from one peer of its region, and from one of another region. In a large region
// the limit is lower, so that the sender's link has capacity for transfers to other regions, for which a whole region waits.
static constexpr uint32_t maxFetchesPerPeer = 2;
static constexpr uint32_t maxFetchesPerPeerInLargeRegion = 1;
// Number of peers in the own region from which the region counts as large.
static constexpr std::ptrdiff_t minPeersOfLargeRegion = 4;
static constexpr uint32_t maxFetchesPerOtherRegionPeer = 2;
// Limits of concurrent fetches of one process from the origin and from other regions, which leave slots for fetches inside
// the region. The VMs of a large region use up the origin's bandwidth with one fetch each. The fewer chunks the origin
// serves at a time, the sooner the first ones are complete.
static constexpr size_t maxOriginFetches = 3;
static constexpr size_t maxOriginFetchesInLargeRegion = 1;
static constexpr size_t maxOtherRegionFetches = 3;
// Number of takeover delays that VMs outside the origin's region wait in addition before they fetch from the origin.
static constexpr uint32_t farOriginExtraRanks = 3;

std::vector<std::string> assignChunks(const std::vector<std::string>& digests, const std::vector<std::string>& members)
{
    size_t share = (digests.size() + members.size() - 1) / members.size();
    std::unordered_map<std::string, size_t> assigned;
    std::vector<std::string> firstMembers;
    firstMembers.reserve(digests.size());
    for (const auto& digest : digests) {
        auto rankedMembers = rankMembers(digest, members, members.size());
        auto hasRoom = [&](const std::string& member) { return assigned[member] < share; };
        firstMembers.push_back(*std::find_if(rankedMembers.begin(), rankedMembers.end(), hasRoom));
        ++assigned[firstMembers.back()];
    }
    return firstMembers;
}

std::vector<ChunkRoute> makeRoutes(const std::vector<std::string>& digests, const std::vector<std::string>& members, const std::string& ownVm)
{
    auto firstMembers = assignChunks(digests, members);
    std::vector<ChunkRoute> routes(digests.size());
    for (size_t chunk = 0; chunk < digests.size(); ++chunk) {
        auto rankedMembers = rankMembers(digests[chunk], members, members.size());
        auto position = std::find(rankedMembers.begin(), rankedMembers.end(), firstMembers[chunk]);
        std::rotate(rankedMembers.begin(), position, position + 1);
        ChunkRoute& route = routes[chunk];
        route.rank = static_cast<uint32_t>(std::find(rankedMembers.begin(), rankedMembers.end(), ownVm) - rankedMembers.begin());
        rankedMembers.resize(std::min<size_t>(route.rank, maxPredecessors));
        route.predecessors = std::move(rankedMembers);
    }
    return routes;
}

namespace {

// State of one call of planFetches().
struct PlanState {
    const ChunkPlanInput& input;
    TimePoint now;
    std::unordered_map<std::string, size_t> positions; ///< By VM name: position in input.peers.
    std::vector<uint32_t> startedByPeer; ///< By position of the peer: fetches that this plan starts.
    std::vector<uint32_t> holderCounts; ///< By chunk: number of peers that hold it.
    size_t originFetches = 0;
    size_t otherRegionFetches = 0;
    uint32_t maxPerPeer = maxFetchesPerPeer;
    size_t maxFromOrigin = maxOriginFetches;
};

} // namespace

static PlanState makePlanState(const ChunkPlanInput& input, TimePoint now)
{
    PlanState state { input, now, {}, std::vector<uint32_t>(input.peers.size(), 0), std::vector<uint32_t>(input.chunks.size(), 0), input.originFetches, input.otherRegionFetches };
    auto regionPeers = std::count_if(input.peers.begin(), input.peers.end(), [](const ChunkPeer& peer) { return peer.isSameRegion; });
    if (regionPeers >= minPeersOfLargeRegion) {
        state.maxPerPeer = maxFetchesPerPeerInLargeRegion;
        state.maxFromOrigin = maxOriginFetchesInLargeRegion;
    }
    for (size_t i = 0; i < input.peers.size(); ++i) {
        const ChunkPeer& peer = input.peers[i];
        state.positions.emplace(peer.vm, i);
        size_t known = std::min(peer.chunks.size(), input.chunks.size());
        for (size_t chunk = 0; chunk < known; ++chunk)
            state.holderCounts[chunk] += peer.chunks[chunk] ? 1 : 0;
    }
    return state;
}

// Returns whether the peer holds the chunk and isn't in a backoff.
static bool canServeChunk(const PlanState& state, const ChunkPeer& peer, size_t chunk)
{
    return chunk < peer.chunks.size() && peer.chunks[chunk] && peer.backedOffUntil <= state.now;
}

// Returns the peer with the fewest fetches in progress that holds the chunk and is below its limit; null when there is none.
static const ChunkPeer* chooseLeastLoadedPeer(const PlanState& state, size_t chunk, bool isSameRegion)
{
    const ChunkPeer* best = nullptr;
    uint32_t bestLoad = isSameRegion ? state.maxPerPeer : maxFetchesPerOtherRegionPeer;
    for (size_t i = 0; i < state.input.peers.size(); ++i) {
        const ChunkPeer& peer = state.input.peers[i];
        uint32_t load = peer.fetchesInProgress + state.startedByPeer[i];
        if (peer.isSameRegion != isSameRegion || load >= bestLoad || !canServeChunk(state, peer, chunk))
            continue;
        best = &peer;
        bestLoad = load;
    }
    return best;
}

// Returns whether to wait for the route's source: it is known, is not in a backoff, and holds the chunk or makes progress.
static bool shouldWaitForSource(const PlanState& state, size_t chunk)
{
    auto position = state.positions.find(state.input.routes[chunk].source);
    if (position == state.positions.end())
        return false;
    const ChunkPeer& source = state.input.peers[position->second];
    if (canServeChunk(state, source, chunk))
        return true;
    auto waitFrom = std::max(state.input.chunks[chunk].wantedSince, source.lastProgress);
    return source.backedOffUntil <= state.now && state.now - waitFrom < takeoverDelay;
}

// Returns the peer of another region from which the chunk is brought in; null when there is none now.
static const ChunkPeer* chooseOtherRegionPeer(const PlanState& state, size_t chunk)
{
    if (!shouldWaitForSource(state, chunk))
        return chooseLeastLoadedPeer(state, chunk, false);
    size_t position = state.positions.at(state.input.routes[chunk].source);
    const ChunkPeer& source = state.input.peers[position];
    bool isFree = source.fetchesInProgress + state.startedByPeer[position] < maxFetchesPerOtherRegionPeer;
    return isFree && canServeChunk(state, source, chunk) ? &source : nullptr;
}

static bool isHeldInRegion(const PlanState& state, size_t chunk)
{
    return std::any_of(state.input.peers.begin(), state.input.peers.end(), [&](const ChunkPeer& peer) {
        return peer.isSameRegion && canServeChunk(state, peer, chunk);
    });
}

// Returns whether this VM may bring the chunk into its region now: its predecessors have made no progress for long enough since
// the time from which they could fetch the chunk. A predecessor that is in a backoff is not waited for.
static bool mayFetchIntoRegion(const PlanState& state, size_t chunk, uint32_t extraRanks)
{
    const ChunkRoute& route = state.input.routes[chunk];
    auto waitFrom = std::max(state.input.chunks[chunk].wantedSince, state.input.chunks[chunk].heldInOtherRegionSince);
    uint32_t rank = route.rank;
    for (const auto& vm : route.predecessors) {
        auto position = state.positions.find(vm);
        if (position == state.positions.end())
            continue;
        const ChunkPeer& peer = state.input.peers[position->second];
        if (peer.backedOffUntil > state.now)
            --rank;
        else
            waitFrom = std::max(waitFrom, peer.lastProgress);
    }
    return state.now - waitFrom >= takeoverDelay * static_cast<int>(rank + extraRanks);
}

static bool hasProgressed(const PlanState& state, const std::string& vm, Duration within)
{
    auto position = state.positions.find(vm);
    if (position == state.positions.end())
        return false;
    const ChunkPeer& peer = state.input.peers[position->second];
    return peer.backedOffUntil <= state.now && state.now - peer.lastProgress < within;
}

// Returns whether a VM outside the origin's region may fetch from the origin: neither the route's source nor an upstream VM
// has made progress for farOriginExtraRanks times the takeover delay, and this VM's turn to take over has come with as many
// ranks added (see mayFetchIntoRegion()). The upstream VMs count because a source that waits for its own source receives
// nothing in the meantime.
static bool mayFetchFromFarOrigin(const PlanState& state, size_t chunk)
{
    const ChunkRoute& route = state.input.routes[chunk];
    auto progressTimeout = takeoverDelay * static_cast<int>(farOriginExtraRanks);
    auto isProgressing = [&](const std::string& vm) { return hasProgressed(state, vm, progressTimeout); };
    if (isProgressing(route.source) || std::any_of(route.upstream.begin(), route.upstream.end(), isProgressing))
        return false;
    return mayFetchIntoRegion(state, chunk, farOriginExtraRanks);
}

// Returns the missing chunks in the order in which they are planned: first those that this VM brings into the region, then
// those that fewest peers hold. A hash of chunk and VM breaks ties, so that different VMs fetch different chunks.
static std::vector<size_t> orderMissingChunks(const PlanState& state)
{
    const ChunkPlanInput& input = state.input;
    std::vector<std::tuple<bool, uint32_t, uint64_t, size_t>> candidates;
    for (size_t chunk = 0; chunk < input.chunks.size(); ++chunk) {
        if (input.chunks[chunk].isHeld || input.chunks[chunk].isInProgress)
            continue;
        // Chunks that this VM brings in come first, because the whole region waits for them.
        bool isImportedByOther = input.routes[chunk].rank > 0;
        candidates.emplace_back(isImportedByOther, state.holderCounts[chunk], rendezvousScore(input.digests[chunk], input.ownVm), chunk);
    }
    std::sort(candidates.begin(), candidates.end());
    std::vector<size_t> order;
    order.reserve(candidates.size());
    for (const auto& candidate : candidates)
        order.push_back(std::get<3>(candidate));
    return order;
}

static ChunkFetch planPeerFetch(PlanState& state, size_t chunk, const ChunkPeer& peer)
{
    ++state.startedByPeer[static_cast<size_t>(&peer - state.input.peers.data())];
    if (!peer.isSameRegion)
        ++state.otherRegionFetches;
    return { chunk, peer.isSameRegion ? ChunkSource::SameRegion : ChunkSource::OtherRegion, peer.vm, peer.address };
}

// Adds a fetch of the chunk to the plan if one can be started now.
static void planChunkFetch(PlanState& state, size_t chunk, std::vector<ChunkFetch>& fetches)
{
    if (const ChunkPeer* peer = chooseLeastLoadedPeer(state, chunk, true)) {
        fetches.push_back(planPeerFetch(state, chunk, *peer));
        return;
    }
    if (isHeldInRegion(state, chunk) || !mayFetchIntoRegion(state, chunk, 0))
        return;
    const ChunkPeer* otherRegionPeer = chooseOtherRegionPeer(state, chunk);
    if (otherRegionPeer && state.otherRegionFetches < maxOtherRegionFetches) {
        fetches.push_back(planPeerFetch(state, chunk, *otherRegionPeer));
        return;
    }
    bool isAvailableElsewhere = otherRegionPeer || shouldWaitForSource(state, chunk);
    if (isAvailableElsewhere || !state.input.isOriginUsable || state.originFetches >= state.maxFromOrigin)
        return;
    if (state.input.isOriginNear || mayFetchFromFarOrigin(state, chunk)) {
        ++state.originFetches;
        fetches.push_back({ chunk, ChunkSource::Origin, {}, {} });
    }
}

void updateHeldInOtherRegion(std::vector<ChunkState>& chunks, const std::vector<ChunkPeer>& peers, TimePoint now)
{
    for (size_t chunk = 0; chunk < chunks.size(); ++chunk) {
        ChunkState& state = chunks[chunk];
        bool isHeldInOtherRegion = std::any_of(peers.begin(), peers.end(), [&](const ChunkPeer& peer) {
            return !peer.isSameRegion && chunk < peer.chunks.size() && peer.chunks[chunk] && peer.backedOffUntil <= now;
        });
        if (!isHeldInOtherRegion)
            state.heldInOtherRegionSince = {};
        else if (state.heldInOtherRegionSince == TimePoint {})
            state.heldInOtherRegionSince = now;
    }
}

std::vector<ChunkFetch> planFetches(const ChunkPlanInput& input, size_t slots, TimePoint now)
{
    std::vector<ChunkFetch> fetches;
    auto state = makePlanState(input, now);
    for (size_t chunk : orderMissingChunks(state)) {
        if (fetches.size() >= slots)
            break;
        planChunkFetch(state, chunk, fetches);
    }
    return fetches;
}

} // namespace bilberry
