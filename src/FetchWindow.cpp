#include "FetchWindow.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace bilberry {

// Time that the pieces on their way may need to pass the link. A request to the engine may have to wait that long behind them.
static constexpr Milliseconds maxTimeOnLink { 300 };
// Number of arrivals from which the rate is computed. It is small, so that the rate follows the link soon.
static constexpr size_t maxArrivals = 4;
// Age from which the last arrival tells nothing of the link any more for sends.
static constexpr Milliseconds maxArrivalAge { 2000 };
// Least time that an arrival counts for. A small piece may arrive in one read, together with its head.
static constexpr Milliseconds minArrivalTime { 1 };

static TimePoint endOf(const PieceArrival& arrival)
{
    return std::max(arrival.endedAt, arrival.beganAt + minArrivalTime);
}

static double bytesPerSecond(size_t bytes, Duration time)
{
    return static_cast<double>(bytes) / std::chrono::duration<double>(time).count();
}

void recordArrival(FetchWindow& window, const PieceArrival& arrival)
{
    if (arrival.bytes == 0)
        return;
    assert(window.arrivals.empty() || window.arrivals.back().endedAt <= arrival.endedAt);
    if (arrival.isFromOrigin && bytesPerSecond(arrival.bytes, endOf(arrival) - arrival.beganAt) <= arrivalRate(window))
        return;
    window.arrivals.push_back(arrival);
    if (window.arrivals.size() > maxArrivals)
        window.arrivals.pop_front();
}

double arrivalRate(const FetchWindow& window)
{
    if (window.arrivals.empty())
        return window.nominalBytesPerSecond;
    std::vector<PieceArrival> arrivals(window.arrivals.begin(), window.arrivals.end());
    std::sort(arrivals.begin(), arrivals.end(), [](const PieceArrival& first, const PieceArrival& second) { return first.beganAt < second.beganAt; });
    size_t bytes = 0;
    Duration busyTime { 0 };
    TimePoint coveredUntil = arrivals.front().beganAt;
    for (const auto& arrival : arrivals) {
        bytes += arrival.bytes;
        busyTime += std::max(Duration(0), endOf(arrival) - std::max(coveredUntil, arrival.beganAt));
        coveredUntil = std::max(coveredUntil, endOf(arrival));
    }
    return bytesPerSecond(bytes, busyTime);
}

double sendRate(const FetchWindow& window, TimePoint now)
{
    bool isRecent = !window.arrivals.empty() && now - window.arrivals.back().endedAt < maxArrivalAge;
    return isRecent ? std::min(window.nominalBytesPerSecond, arrivalRate(window)) : window.nominalBytesPerSecond;
}

size_t allowedFetches(const FetchWindow& window, size_t pieceBytes, size_t most)
{
    assert(most > 0);
    double rate = arrivalRate(window);
    if (rate <= 0 || pieceBytes == 0)
        return most;
    double pieces = rate * std::chrono::duration<double>(maxTimeOnLink).count() / static_cast<double>(pieceBytes);
    return pieces < 1 ? 1 : std::min(most, static_cast<size_t>(std::min(pieces, static_cast<double>(most))));
}

} // namespace bilberry
