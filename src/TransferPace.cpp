#include "TransferPace.h"

#include <algorithm>

namespace bilberry {

static constexpr size_t largePieceBytes = size_t(16) * 1024;
static constexpr size_t smallPieceBytes = size_t(4) * 1024;
// The minimum share, so that the distribution of a version completes under any live load.
static constexpr double minLiveShare = 0.1;
// A transfer slower than this, in bytes per second, is aborted even where all transfers are slow.
static constexpr double minTransferBytesPerSecond = 8.0 * 1024;
// A transfer is aborted when it is more than this many times slower than the observed rate.
static constexpr double maxSlowdown = 16;
// The weight of the newest transfer in the smoothed rate.
static constexpr double newestSampleWeight = 0.25;
static constexpr double abortedRateFactor = 0.5;

TransferPace chooseTransferPace(const TransferLoad& load)
{
    if (load.liveRequests == 0)
        return { load.maxBytesPerSecond, largePieceBytes };
    double share = std::clamp(load.liveShare, minLiveShare, 1.0);
    return { load.maxBytesPerSecond * share, smallPieceBytes };
}

void recordTransfer(ObservedRate& observed, uint64_t bytes, Duration took)
{
    double rate = static_cast<double>(bytes) / std::chrono::duration<double>(took).count();
    observed.bytesPerSecond = observed.bytesPerSecond > 0 ? observed.bytesPerSecond + (rate - observed.bytesPerSecond) * newestSampleWeight : rate;
}

void recordAbortedTransfer(ObservedRate& observed)
{
    observed.bytesPerSecond *= abortedRateFactor;
}

double minAcceptedRate(const ObservedRate& observed)
{
    return std::max(minTransferBytesPerSecond, observed.bytesPerSecond / maxSlowdown);
}

} // namespace bilberry
