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
    const double piece = std::max(bytesPerSecond / writesPerSecond, minWriteBytes);
    return std::min(static_cast<size_t>(piece), maxWriteBytes);
}

bool allowCall(CallRateLimiter& limit, double callsPerSecond)
{
    if (callsPerSecond <= 0)
        return true;
    const TimePoint now = Clock::now();
    const std::lock_guard lock(limit.mutex);
    const double gained = std::chrono::duration<double>(now - limit.refilledAt).count() * callsPerSecond;
    limit.tokens = std::min(limit.tokens + gained, std::max(callsPerSecond, 1.0));
    limit.refilledAt = now;
    if (limit.tokens < 1)
        return false;
    limit.tokens -= 1;
    return true;
}

} // namespace bilberry::standin
