#include "WorkRate.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

// Time in which the weight of a statement in the mean falls to half.
static constexpr Milliseconds meanHalfLife { 200 };
// Age of the newest statement up to which the mean counts in full, and the age from which nothing is known.
static constexpr Milliseconds freshAge { 200 };
static constexpr Milliseconds staleAge { 800 };
// The age from which nothing is known although a newer statement is awaited.
static constexpr Milliseconds longestAwaitedAge { 3000 };
// Age from which the newest statement says no more of the present than the mean.
static constexpr Milliseconds newestAge { 400 };

static double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

bool noteWorkTime(WorkRate& rate, uint32_t percent, TimePoint statedAt)
{
    bool isInBounds = percent >= minWorkTimePercent && percent <= maxWorkTimePercent;
    if (!isInBounds || statedAt < rate.statedAt || statedAt == TimePoint())
        return false;
    double workTime = percent / 100.0;
    bool isMeanUsable = isWorkTimeKnown(rate, false, statedAt);
    double weight = isMeanUsable ? 1 - std::exp2(-toMilliseconds(statedAt - rate.statedAt) / toMilliseconds(meanHalfLife)) : 1;
    rate.mean += weight * (workTime - rate.mean);
    rate.newest = workTime;
    rate.statedAt = statedAt;
    return true;
}

bool isWorkTimeKnown(const WorkRate& rate, bool isAwaited, TimePoint now)
{
    return rate.statedAt != TimePoint() && now - rate.statedAt < (isAwaited ? longestAwaitedAge : staleAge);
}

double meanWorkTime(const WorkRate& rate, bool isAwaited, TimePoint now)
{
    if (!isWorkTimeKnown(rate, isAwaited, now))
        return 1;
    double weight = isAwaited ? 1 : toMilliseconds(staleAge - (now - rate.statedAt)) / toMilliseconds(staleAge - freshAge);
    return 1 + std::min(1.0, weight) * (rate.mean - 1);
}

double currentWorkTime(const WorkRate& rate, bool isAwaited, TimePoint now)
{
    double mean = meanWorkTime(rate, isAwaited, now);
    if (!isWorkTimeKnown(rate, isAwaited, now))
        return mean;
    double weight = 1 - toMilliseconds(now - rate.statedAt) / toMilliseconds(newestAge);
    return mean + std::clamp(weight, 0.0, 1.0) * (rate.newest - mean);
}

} // namespace bilberry
