/// Caches the placement until its inputs change, since calendar searches are expensive.
#pragma once

#include "Placement.h"

#include <memory>
#include <mutex>

namespace bilberry {

using PlacementPointer = std::shared_ptr<const Placement>;

/// Thread safe.
class PlacementCache {
public:
    /// Returns the placement for the configuration, the live list (null: all VMs count as live) and the UTC day of `now`.
    PlacementPointer get(const ConfigurationPointer&, const LiveListPointer&, WallTime now);

private:
    std::mutex mutex;
    ConfigurationPointer configuration;
    LiveListPointer liveList;
    int64_t day = -1; ///< UTC day of the cached placement, since the Unix epoch; -1: none.
    PlacementPointer placement;
};

} // namespace bilberry
