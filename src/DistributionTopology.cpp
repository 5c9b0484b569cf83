#include "DistributionTopology.h"

#include "Rendezvous.h"

#include <algorithm>

namespace bilberry {

// Members of the own region that are asked for their holdings.
static constexpr size_t maxPolledInRegion = 12;
// Of these, how many may be VMs that this one would replace next.
static constexpr size_t maxPolledPredecessors = 6;
// Members of other regions that are asked for their holdings.
static constexpr size_t maxPolledInOtherRegions = 8;
// VMs that may bring a chunk into the fleet and are asked for it.
static constexpr size_t maxOriginFetchers = 2;
// Resolvers that everyone asks.
static constexpr size_t maxPolledResolvers = 3;
// Children of a VM in the tree strategy.
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

// Gives each route the VM of the region before this one that brings the chunk in there.
static void setRouteSources(DistributionTopology& view, const Configuration& configuration, const std::vector<RowIndex>& vms, const std::string& ownRegion, const std::vector<std::string>& digests)
{
    const Inventory& inventory = configuration.inventory;
    std::vector<std::string> regions;
    std::vector<std::vector<std::string>> first; // By region, then by chunk.
    for (RowIndex vm : vms) {
        const std::string& region = inventory.dataCentres[inventory.vms[vm].dataCentre].region;
        if (positionOf(regions, region) < regions.size())
            continue;
        regions.push_back(region);
        first.push_back(assignChunks(digests, vmNamesInRegion(configuration, vms, region)));
    }
    for (size_t chunk = 0; chunk < view.routes.size(); ++chunk) {
        auto order = chunkRegionOrder(digests[chunk], regions, inventory.weightStoreRegion);
        size_t position = positionOf(order, ownRegion);
        if (position == 0)
            continue;
        auto firstIn = [&](size_t i) { return first[positionOf(regions, order[i])][chunk]; };
        view.routes[chunk].source = firstIn(position - 1);
        for (size_t i = 0; i + 1 < position; ++i)
            view.routes[chunk].upstream.push_back(firstIn(i));
    }
}

// Only the parent in a fixed tree is a member; the root goes to the origin.
static void keepParentOnly(DistributionTopology& view, const std::vector<std::string>& order, const std::string& ownVm)
{
    size_t position = positionOf(order, ownVm);
    view.mayUseOrigin = position == 0;
    std::string parent = position == 0 ? std::string() : order[(position - 1) / treeFanOut];
    std::vector<DistributionMember> kept;
    for (auto& member : view.members) {
        member.isSameRegion = true;
        if (member.vm == parent)
            kept.push_back(member);
    }
    view.members = std::move(kept);
}

static void applyBaselineStrategy(DistributionTopology& view, DistributionStrategy strategy, const std::vector<std::string>& order, const std::string& ownVm)
{
    for (auto& route : view.routes)
        route = {};
    view.isOriginNear = true;
    // Versions come the way that the chunks do.
    view.resolverRank = strategy == DistributionStrategy::Tree ? positionOf(order, ownVm) : 0;
    view.resolvers.clear();
    if (strategy == DistributionStrategy::OriginOnly)
        view.members.clear();
    else
        keepParentOnly(view, order, ownVm);
}

DistributionTopology makeDistributionTopology(const Configuration& configuration, const Placement& placement, RowIndex model, RowIndex ownVm, const Manifest& manifest, DistributionStrategy strategy)
{
    const Inventory& inventory = configuration.inventory;
    const Vm& own = inventory.vms[ownVm];
    auto vms = collectVms(placement, model);
    DistributionTopology view;
    std::vector<std::string> all;
    for (RowIndex vm : vms) {
        all.push_back(inventory.vms[vm].name);
        if (vm != ownVm)
            view.members.push_back({ inventory.vms[vm].name, inventory.vms[vm].address, inSameRegion(inventory, inventory.vms[vm].dataCentre, own.dataCentre) });
    }
    const std::string& ownRegion = inventory.dataCentres[own.dataCentre].region;
    auto inRegion = vmNamesInRegion(configuration, vms, ownRegion);
    auto nearOrigin = vmNamesInRegion(configuration, vms, inventory.weightStoreRegion);
    view.isOriginNear = nearOrigin.empty() || ownRegion == inventory.weightStoreRegion;
    std::vector<std::string> digests;
    for (const auto& chunk : manifest.chunks) {
        digests.push_back(chunk.digest);
        view.originFetchers.push_back(rankMembers(chunk.digest, nearOrigin.empty() ? all : nearOrigin, maxOriginFetchers));
    }
    view.routes = makeRoutes(digests, inRegion, own.name);
    if (!view.isOriginNear)
        setRouteSources(view, configuration, vms, ownRegion, digests);
    auto first = std::count_if(view.routes.begin(), view.routes.end(), [](const ChunkRoute& route) { return route.rank == 0; });
    view.regionIngressShare = static_cast<double>(first) / static_cast<double>(std::max<size_t>(view.routes.size(), 1));
    const Model& row = inventory.models[model];
    view.resolvers = rankMembers(row.name + "/" + row.versionTag, all, all.size());
    view.resolverRank = positionOf(view.resolvers, own.name);
    if (strategy != DistributionStrategy::Peers)
        applyBaselineStrategy(view, strategy, rankMembers(row.name, all, all.size()), own.name);
    return view;
}

// The VMs that this one would replace next: only their progress keeps it from doing so.
static std::unordered_set<std::string> collectPredecessors(const DistributionTopology& view, const std::vector<ChunkState>& chunks)
{
    std::unordered_set<std::string> ahead;
    for (size_t chunk = 0; chunk < chunks.size() && ahead.size() < maxPolledPredecessors; ++chunk) {
        if (!chunks[chunk].isHeld && view.routes[chunk].rank == 1)
            ahead.insert(view.routes[chunk].predecessors.begin(), view.routes[chunk].predecessors.end());
    }
    return ahead;
}

// Sources of the chunks that this VM is to bring in go first: it goes past a source that it does not see make progress.
// Then those of the chunks that it is the next for, then any that may have the chunks.
static std::unordered_set<std::string> collectOtherRegionSources(const DistributionTopology& view, const std::vector<ChunkState>& chunks)
{
    std::unordered_set<std::string> elsewhere;
    for (uint32_t rank : { 0U, 1U }) {
        for (size_t chunk = 0; chunk < chunks.size() && elsewhere.size() < maxPolledInOtherRegions; ++chunk) {
            if (chunks[chunk].isHeld || view.routes[chunk].rank != rank)
                continue;
            elsewhere.insert(view.routes[chunk].source);
            elsewhere.insert(view.routes[chunk].upstream.begin(), view.routes[chunk].upstream.end());
        }
    }
    for (size_t chunk = 0; chunk < chunks.size() && elsewhere.size() < maxPolledInOtherRegions; ++chunk) {
        if (!chunks[chunk].isHeld && view.routes[chunk].rank <= 1)
            elsewhere.insert(view.originFetchers[chunk].begin(), view.originFetchers[chunk].end());
    }
    return elsewhere;
}

std::unordered_set<std::string> choosePolledMembers(const DistributionTopology& view, const std::vector<ChunkState>& chunks, const std::string& ownVm)
{
    std::unordered_set<std::string> polled;
    for (size_t i = 0; i < std::min(maxPolledResolvers, view.resolvers.size()); ++i)
        polled.insert(view.resolvers[i]);
    bool isMissing = chunks.empty() || std::any_of(chunks.begin(), chunks.end(), [](const ChunkState& chunk) { return !chunk.isHeld; });
    if (!isMissing)
        return polled;
    std::vector<std::string> inRegion;
    for (const auto& member : view.members) {
        if (member.isSameRegion)
            inRegion.push_back(member.vm);
    }
    auto asked = collectPredecessors(view, chunks);
    for (const auto& vm : rankMembers(ownVm, inRegion, inRegion.size())) {
        if (asked.size() < maxPolledInRegion)
            asked.insert(vm);
    }
    if (!view.isOriginNear)
        asked.merge(collectOtherRegionSources(view, chunks));
    polled.merge(asked);
    return polled;
}

} // namespace bilberry
