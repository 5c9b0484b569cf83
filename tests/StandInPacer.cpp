#include "StandInPacer.h"
#include <algorithm>

namespace bilberry::standin {

namespace {

using SecondsFraction = std::chrono::duration<double>;
constexpr double piecesPerSecond = 20;
constexpr double minimumPieceBytes = 512;

} // namespace

size_t pieceBytes(double bytesPerSecond)
{
    if (bytesPerSecond <= 0)
        return maximumPieceBytes;
    const double piece = std::max(bytesPerSecond / piecesPerSecond, minimumPieceBytes);
    return std::min(static_cast<size_t>(piece), maximumPieceBytes);
}

TimePoint reserveBytes(Pacer& pacer, size_t bytes, double bytesPerSecond)
{
    const TimePoint now = Clock::now();
    if (bytesPerSecond <= 0)
        return now;
    const auto cost = std::chrono::duration_cast<Duration>(SecondsFraction(static_cast<double>(bytes) / bytesPerSecond));
    const std::lock_guard lock(pacer.mutex);
    pacer.nextFree = std::max(pacer.nextFree, now) + cost;
    return pacer.nextFree;
}

bool allowCall(CallLimit& limit, double callsPerSecond)
{
    if (callsPerSecond <= 0)
        return true;
    const TimePoint now = Clock::now();
    const std::lock_guard lock(limit.mutex);
    const double gained = SecondsFraction(now - limit.refilled).count() * callsPerSecond;
    limit.tokens = std::min(limit.tokens + gained, std::max(callsPerSecond, 1.0));
    limit.refilled = now;
    if (limit.tokens < 1)
        return false;
    limit.tokens -= 1;
    return true;
}

} // namespace bilberry::standin
