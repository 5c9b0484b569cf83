/// Decides through which VMs one model's chunks reach this VM, and which VMs it polls, when many VMs fetch a new version at
/// once over slow links between regions. The topology is a pure function of configuration, placement and manifest, so that
/// all processes with the same documents agree on it without messages.
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

/// Another VM that carries the model.
struct DistributionMember {
    std::string vm;
    std::string address;
    bool isSameRegion = true;
};

/// The paths of one model's chunks, as seen from one VM.
struct DistributionTopology {
    std::vector<DistributionMember> members; ///< The peers that chunks may be fetched from.
    std::vector<ChunkRoute> routes; ///< By chunk, each with the source in the preceding region (see chunkRegionOrder()).
    std::vector<std::vector<std::string>> originFetchers; ///< By chunk: VMs that fetch it from the origin, best first.
    std::vector<std::string> resolvers; ///< VMs that ask the weight store which version the version tag denotes, best first.
    size_t resolverRank = 0; ///< Position of this VM among the resolvers; 0 asks first.
    double regionIngressShare = 0; ///< Share of the chunks that this VM is the first in its region to fetch from outside the region.
    bool isOriginNear = true; ///< This region is the origin's, or the origin's region has no VM with the model.
    bool mayUseOrigin = true; ///< False only in the tree strategy, for all VMs but the root.
};

/// The order in which a chunk is passed from region to region. The origin's region is first, and each region passes the
/// chunk to the next one only, so that the origin's VMs send each chunk to one other region. Precondition: the origin's
/// region is among the regions. Thread safe.
std::vector<std::string> chunkRegionOrder(const std::string& digest, const std::vector<std::string>& regions, const std::string& originRegion);

/// Computes the topology of one model for one VM. Precondition: the placement assigns the model to the VM. Thread safe.
DistributionTopology makeDistributionTopology(const Configuration&, const Placement&, RowIndex model, RowIndex ownVm, const Manifest&, DistributionStrategy);

/// The VMs to poll for their holdings. While chunks are missing these are a few VMs of the region, preferably those that
/// this VM would replace next; a few in other regions, preferably the sources of its own chunks; and the first resolvers.
/// With all chunks held only the first resolvers are polled. Thread safe.
std::unordered_set<std::string> choosePolledMembers(const DistributionTopology&, const std::vector<ChunkState>&, const std::string& ownVm);

} // namespace bilberry
