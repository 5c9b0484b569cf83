/// Settings that concern weights only.
#pragma once

#include <cstdint>

namespace bilberry {

/// How chunks spread. The latter two are baselines for measurements.
enum class DistributionStrategy : uint8_t { Peers,
    OriginOnly,
    Tree };

struct WeightSettings {
    uint64_t regionIngressBytesPerSecond = 0; ///< That all VMs of a region together may take from other regions; 0: unbounded.
    uint64_t uploadBytesPerSecond = 0; ///< That this VM sends of chunks to peers; 0: unbounded.
    double liveShare = 1; ///< Of that bound, while live requests are in progress at this VM.
    DistributionStrategy strategy = DistributionStrategy::Peers;
};

/// Reads the flags. Precondition: readCommandLine() ran. Thread safe after that.
WeightSettings readWeightSettings();

} // namespace bilberry
