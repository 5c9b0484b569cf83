#include "TransferPace.h"

#include <algorithm>

namespace bilberry {

static constexpr size_t largePieceBytes = size_t(16) * 1024;
static constexpr size_t smallPieceBytes = size_t(4) * 1024;
// The least share, so that a spread ends under any live load.
static constexpr double minLiveShare = 0.1;
// A transfer slower than this, in bytes per second, is given up even where all are slow.
static constexpr double minTransferBytesPerSecond = 8.0 * 1024;
// A transfer may be so many times slower than those seen before it is given up.
static constexpr double maxSlowdown = 16;
// Weight of the newest transfer in the smoothed rate.
static constexpr double newestSampleWeight = 0.25;
static constexpr double abortedRateFactor = 0.5;

TransferPace chooseTransferPace(const TransferLoad& demand)
{
    if (demand.liveRequests == 0)
        return { demand.maxBytesPerSecond, largePieceBytes };
    double share = std::clamp(demand.liveShare, minLiveShare, 1.0);
    return { demand.maxBytesPerSecond * share, smallPieceBytes };
}

void recordTransfer(ObservedRate& seen, uint64_t bytes, Duration took)
{
    double rate = static_cast<double>(bytes) / std::chrono::duration<double>(took).count();
    seen.bytesPerSecond = seen.bytesPerSecond > 0 ? seen.bytesPerSecond + (rate - seen.bytesPerSecond) * newestSampleWeight : rate;
}

void recordAbortedTransfer(ObservedRate& seen)
{
    seen.bytesPerSecond *= abortedRateFactor;
}

double minAcceptedRate(const ObservedRate& seen)
{
    return std::max(minTransferBytesPerSecond, seen.bytesPerSecond / maxSlowdown);
}

} // namespace bilberry
