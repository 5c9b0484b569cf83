#include "DistributionTopology.h"

#include "Rendezvous.h"

#include <algorithm>

namespace bilberry {

// Maximum number of VMs in the own region that are polled for their holdings.
static constexpr size_t maxPolledInRegion = 12;
// Limit on those of them that are polled because this VM would replace them next. It is checked before each chunk, whose
// predecessors may exceed it.
static constexpr size_t maxPolledPredecessors = 6;
// Limit on the VMs in other regions that are polled. It is checked before each chunk, whose sources may exceed it.
static constexpr size_t maxPolledInOtherRegions = 8;
// Maximum number of VMs per chunk that may fetch it from the origin and are polled for it.
static constexpr size_t maxOriginFetchers = 2;
// Number of resolvers that every VM polls.
static constexpr size_t maxPolledResolvers = 3;
// Number of children of a VM in the tree strategy.
static constexpr size_t treeFanOut = 2;

static std::vector<RowIndex> collectVms(const Placement& placement, RowIndex model)
{
    std::vector<RowIndex> vms;
    for (const auto& row : placement.rows) {
        if (row.model == model)
            vms.push_back(row.vm);
    }
    return vms;
}

static std::vector<std::string> vmNamesInRegion(const Configuration& configuration, const std::vector<RowIndex>& vms, const std::string& region)
{
    const Inventory& inventory = configuration.inventory;
    std::vector<std::string> names;
    for (RowIndex vm : vms) {
        if (inventory.dataCentres[inventory.vms[vm].dataCentre].region == region)
            names.push_back(inventory.vms[vm].name);
    }
    return names;
}

static size_t positionOf(const std::vector<std::string>& names, const std::string& name)
{
    return static_cast<size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::vector<std::string> chunkRegionOrder(const std::string& digest, const std::vector<std::string>& regions, const std::string& originRegion)
{
    auto order = rankMembers(digest, regions, regions.size());
    std::stable_partition(order.begin(), order.end(), [&](const std::string& region) { return region == originRegion; });
    return order;
}

// Sets each route's source, the VM that fetches the chunk into the preceding region, and its upstream VMs, which do so for
// the regions before that one. Routes in the chunk's first region keep no source.
static void setRouteSources(DistributionTopology& topology, const Configuration& configuration, const std::vector<RowIndex>& vms, const std::string& ownRegion, const std::vector<std::string>& digests)
{
    const Inventory& inventory = configuration.inventory;
    std::vector<std::string> regions;
    std::vector<std::vector<std::string>> fetcherByChunk; // Indexed by region, then by chunk.
    for (RowIndex vm : vms) {
        const std::string& region = inventory.dataCentres[inventory.vms[vm].dataCentre].region;
        if (positionOf(regions, region) < regions.size())
            continue;
        regions.push_back(region);
        fetcherByChunk.push_back(assignChunks(digests, vmNamesInRegion(configuration, vms, region)));
    }
    for (size_t chunk = 0; chunk < topology.routes.size(); ++chunk) {
        auto order = chunkRegionOrder(digests[chunk], regions, inventory.weightStoreRegion);
        size_t position = positionOf(order, ownRegion);
        if (position == 0)
            continue;
        auto fetcherIn = [&](size_t i) { return fetcherByChunk[positionOf(regions, order[i])][chunk]; };
        topology.routes[chunk].source = fetcherIn(position - 1);
        for (size_t i = 0; i + 1 < position; ++i)
            topology.routes[chunk].upstream.push_back(fetcherIn(i));
    }
}

// Keeps only the parent in a fixed tree as a member; only the root uses the origin.
static void keepParentOnly(DistributionTopology& topology, const std::vector<std::string>& order, const std::string& ownVm)
{
    size_t position = positionOf(order, ownVm);
    topology.mayUseOrigin = position == 0;
    std::string parent = position == 0 ? std::string() : order[(position - 1) / treeFanOut];
    std::vector<DistributionMember> kept;
    for (auto& member : topology.members) {
        member.isSameRegion = true;
        if (member.vm == parent)
            kept.push_back(member);
    }
    topology.members = std::move(kept);
}

static void applyBaselineStrategy(DistributionTopology& topology, DistributionStrategy strategy, const std::vector<std::string>& order, const std::string& ownVm)
{
    for (auto& route : topology.routes)
        route = {};
    topology.isOriginNear = true;
    // Versions are resolved along the same path as chunks are fetched.
    topology.resolverRank = strategy == DistributionStrategy::Tree ? positionOf(order, ownVm) : 0;
    topology.resolvers.clear();
    if (strategy == DistributionStrategy::OriginOnly)
        topology.members.clear();
    else
        keepParentOnly(topology, order, ownVm);
}

DistributionTopology makeDistributionTopology(const Configuration& configuration, const Placement& placement, RowIndex model, RowIndex ownVm, const Manifest& manifest, DistributionStrategy strategy)
{
    const Inventory& inventory = configuration.inventory;
    const Vm& own = inventory.vms[ownVm];
    auto vms = collectVms(placement, model);
    DistributionTopology topology;
    std::vector<std::string> allVms;
    for (RowIndex vm : vms) {
        allVms.push_back(inventory.vms[vm].name);
        if (vm != ownVm)
            topology.members.push_back({ inventory.vms[vm].name, inventory.vms[vm].address, inSameRegion(inventory, inventory.vms[vm].dataCentre, own.dataCentre) });
    }
    const std::string& ownRegion = inventory.dataCentres[own.dataCentre].region;
    auto vmsInRegion = vmNamesInRegion(configuration, vms, ownRegion);
    auto vmsNearOrigin = vmNamesInRegion(configuration, vms, inventory.weightStoreRegion);
    topology.isOriginNear = vmsNearOrigin.empty() || ownRegion == inventory.weightStoreRegion;
    std::vector<std::string> digests;
    for (const auto& chunk : manifest.chunks) {
        digests.push_back(chunk.digest);
        topology.originFetchers.push_back(rankMembers(chunk.digest, vmsNearOrigin.empty() ? allVms : vmsNearOrigin, maxOriginFetchers));
    }
    topology.routes = makeRoutes(digests, vmsInRegion, own.name);
    if (!topology.isOriginNear)
        setRouteSources(topology, configuration, vms, ownRegion, digests);
    auto ownChunkCount = std::count_if(topology.routes.begin(), topology.routes.end(), [](const ChunkRoute& route) { return route.rank == 0; });
    topology.regionIngressShare = static_cast<double>(ownChunkCount) / static_cast<double>(std::max<size_t>(topology.routes.size(), 1));
    const Model& row = inventory.models[model];
    topology.resolvers = rankMembers(row.name + "/" + row.versionTag, allVms, allVms.size());
    topology.resolverRank = positionOf(topology.resolvers, own.name);
    if (strategy != DistributionStrategy::Peers)
        applyBaselineStrategy(topology, strategy, rankMembers(row.name, allVms, allVms.size()), own.name);
    return topology;
}

// The VMs that this one would replace next. Their progress is polled, since only that makes this VM wait.
static std::unordered_set<std::string> collectPredecessors(const DistributionTopology& topology, const std::vector<ChunkState>& chunks)
{
    std::unordered_set<std::string> polledVms;
    for (size_t chunk = 0; chunk < chunks.size() && polledVms.size() < maxPolledPredecessors; ++chunk) {
        if (!chunks[chunk].isHeld && topology.routes[chunk].rank == 1)
            polledVms.insert(topology.routes[chunk].predecessors.begin(), topology.routes[chunk].predecessors.end());
    }
    return polledVms;
}

// The sources of the chunks that this VM fetches into its region come first, since it bypasses a source whose progress it
// does not see. The sources of chunks for which it is the first substitute are next, then the VMs that fetch the chunks from
// the origin.
static std::unordered_set<std::string> collectOtherRegionSources(const DistributionTopology& topology, const std::vector<ChunkState>& chunks)
{
    std::unordered_set<std::string> sources;
    for (uint32_t rank : { 0U, 1U }) {
        for (size_t chunk = 0; chunk < chunks.size() && sources.size() < maxPolledInOtherRegions; ++chunk) {
            if (chunks[chunk].isHeld || topology.routes[chunk].rank != rank)
                continue;
            sources.insert(topology.routes[chunk].source);
            sources.insert(topology.routes[chunk].upstream.begin(), topology.routes[chunk].upstream.end());
        }
    }
    for (size_t chunk = 0; chunk < chunks.size() && sources.size() < maxPolledInOtherRegions; ++chunk) {
        if (!chunks[chunk].isHeld && topology.routes[chunk].rank <= 1)
            sources.insert(topology.originFetchers[chunk].begin(), topology.originFetchers[chunk].end());
    }
    return sources;
}

std::unordered_set<std::string> choosePolledMembers(const DistributionTopology& topology, const std::vector<ChunkState>& chunks, const std::string& ownVm)
{
    std::unordered_set<std::string> polled;
    for (size_t i = 0; i < std::min(maxPolledResolvers, topology.resolvers.size()); ++i)
        polled.insert(topology.resolvers[i]);
    bool isMissing = chunks.empty() || std::any_of(chunks.begin(), chunks.end(), [](const ChunkState& chunk) { return !chunk.isHeld; });
    if (!isMissing)
        return polled;
    std::vector<std::string> vmsInRegion;
    for (const auto& member : topology.members) {
        if (member.isSameRegion)
            vmsInRegion.push_back(member.vm);
    }
    auto polledMembers = collectPredecessors(topology, chunks);
    for (const auto& vm : rankMembers(ownVm, vmsInRegion, vmsInRegion.size())) {
        if (polledMembers.size() < maxPolledInRegion)
            polledMembers.insert(vm);
    }
    if (!topology.isOriginNear)
        polledMembers.merge(collectOtherRegionSources(topology, chunks));
    polled.merge(polledMembers);
    return polled;
}

} // namespace bilberry
