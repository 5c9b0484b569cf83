/// The settings of the distribution of weights.
#pragma once

#include <cstdint>

namespace bilberry {

/// How chunks are distributed. OriginOnly and Tree are baselines for measurements.
enum class DistributionStrategy : uint8_t { Peers,
    OriginOnly,
    Tree };

/// Values of the flags that start with `weight_`, but for the memory bound.
struct WeightSettings {
    uint64_t regionIngressBytesPerSecond = 0; ///< Limit on what all VMs of a region together fetch from other regions; 0: unbounded.
    uint64_t uploadBytesPerSecond = 0; ///< Limit on the chunk bytes that this VM sends to peers; 0: unbounded.
    double liveShare = 1; ///< Share of the upload limit that is used while live requests are in progress at this VM.
    DistributionStrategy strategy = DistributionStrategy::Peers;
};

/// Reads the flags. Precondition: readCommandLine() ran. Thread safe after that.
WeightSettings readWeightSettings();

} // namespace bilberry
