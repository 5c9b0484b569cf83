/// Keeps the placement until what it follows from changes, since calendar searches cost time.
#pragma once

#include "Placement.h"

#include <memory>
#include <mutex>

namespace bilberry {

using PlacementPointer = std::shared_ptr<const Placement>;

/// Thread safe.
class PlacementCache {
public:
    /// The placement for configuration, live list (null: none) and the day of `now`.
    PlacementPointer get(const ConfigurationPointer&, const LiveListPointer&, WallTime now);

private:
    std::mutex mutex;
    ConfigurationPointer configuration;
    LiveListPointer liveList;
    int64_t day = -1;
    PlacementPointer placement;
};

} // namespace bilberry
