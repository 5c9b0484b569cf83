#include "StandInRate.h"
#include <algorithm>

namespace bilberry::standin {

namespace {

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

bool allowCall(CallLimit& limit, double callsPerSecond)
{
    if (callsPerSecond <= 0)
        return true;
    const TimePoint now = Clock::now();
    const std::lock_guard lock(limit.mutex);
    const double gained = std::chrono::duration<double>(now - limit.refilled).count() * callsPerSecond;
    limit.tokens = std::min(limit.tokens + gained, std::max(callsPerSecond, 1.0));
    limit.refilled = now;
    if (limit.tokens < 1)
        return false;
    limit.tokens -= 1;
    return true;
}

} // namespace bilberry::standin
