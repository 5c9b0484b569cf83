#include "PlacementCache.h"

namespace bilberry {

PlacementPointer PlacementCache::get(const ConfigurationPointer& current, const LiveListPointer& live, WallTime now)
{
    int64_t today = std::chrono::duration_cast<std::chrono::hours>(now.time_since_epoch()).count() / 24;
    std::lock_guard<std::mutex> lock(this->mutex);
    bool isUnchanged = this->placement && this->configuration == current && this->liveList == live && this->day == today;
    if (isUnchanged)
        return this->placement;
    this->placement = std::make_shared<const Placement>(placeModels(*current, live.get(), now));
    this->configuration = current;
    this->liveList = live;
    this->day = today;
    return this->placement;
}

} // namespace bilberry
