/// How one model's chunks reach this VM: whom it waits for, whom it asks. One pure function of configuration, placement
/// and manifest, on which all processes with the same documents agree.
#pragma once

#include "ChunkPlan.h"
#include "Configuration.h"
#include "Manifest.h"
#include "Placement.h"
#include "WeightSettings.h"

#include <string>
#include <unordered_set>
#include <vector>

namespace bilberry {

/// A VM that carries the model, other than this one.
struct DistributionMember {
    std::string vm;
    std::string address;
    bool isSameRegion = true;
};

struct DistributionTopology {
    std::vector<DistributionMember> members;
    std::vector<ChunkRoute> routes; ///< By chunk, each with the source in the region before this one (see regionOrder()).
    std::vector<std::vector<std::string>> originFetchers; ///< By chunk: VMs that bring it into the fleet, best first.
    std::vector<std::string> resolvers; ///< VMs that ask the store for the label's version, best first.
    size_t resolverRank = 0; ///< Of this VM.
    double regionIngressShare = 0; ///< Of the chunks, those that this VM is the first to bring into its region.
    bool isOriginNear = true;
    bool mayUseOrigin = true;
};

/// The order in which a chunk passes from region to region: the origin's first, so that its VMs send each chunk to one
/// other region only. Precondition: the origin's region is among them. Thread safe.
std::vector<std::string> chunkRegionOrder(const std::string& digest, const std::vector<std::string>& regions, const std::string& originRegion);

/// The view of one model from one VM. Precondition: the placement gives the VM the model. Thread safe.
DistributionTopology makeDistributionTopology(const Configuration&, const Placement&, RowIndex model, RowIndex ownVm, const Manifest&, DistributionStrategy);

/// The members to ask for their holdings while chunks are missing: a few of the region, those that this VM would replace
/// next first; a few elsewhere, the sources of its own chunks first; and the first resolvers. Thread safe.
std::unordered_set<std::string> choosePolledMembers(const DistributionTopology&, const std::vector<ChunkState>&, const std::string& ownVm);

} // namespace bilberry
