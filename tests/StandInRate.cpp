#include "StandInRate.h"
#include <algorithm>

namespace bilberry::standin {

namespace {

constexpr double writesPerSecond = 20;
constexpr double minWriteBytes = 512;

} // namespace

size_t pacedWriteBytes(double bytesPerSecond)
{
    if (bytesPerSecond <= 0)
        return maxWriteBytes;
    const double size = std::max(bytesPerSecond / writesPerSecond, minWriteBytes);
    return std::min(static_cast<size_t>(size), maxWriteBytes);
}

bool allowCall(CallRateLimiter& limiter, double callsPerSecond)
{
    if (callsPerSecond <= 0)
        return true;
    const TimePoint now = Clock::now();
    const std::lock_guard lock(limiter.mutex);
    const double gained = std::chrono::duration<double>(now - limiter.refilledAt).count() * callsPerSecond;
    limiter.tokens = std::min(limiter.tokens + gained, std::max(callsPerSecond, 1.0));
    limiter.refilledAt = now;
    if (limiter.tokens < 1)
        return false;
    limiter.tokens -= 1;
    return true;
}

} // namespace bilberry::standin
