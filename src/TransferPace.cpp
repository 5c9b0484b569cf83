#include "TransferPace.h"

#include <algorithm>

namespace bilberry {

static constexpr size_t largePieceBytes = size_t(16) * 1024;
static constexpr size_t smallPieceBytes = size_t(4) * 1024;
// The least share, so that a spread ends under any live load.
static constexpr double minLiveShare = 0.1;

TransferPace choosePace(const TransferDemand& demand)
{
    if (demand.liveRequests == 0)
        return { demand.boundBytesPerSecond, largePieceBytes };
    double share = std::clamp(demand.liveShare, minLiveShare, 1.0);
    return { demand.boundBytesPerSecond * share, smallPieceBytes };
}

} // namespace bilberry
