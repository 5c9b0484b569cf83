/// Rates of a stand-in: pieces of paced bytes, and calls that are refused over a limit.
#pragma once

#include "Types.h"
#include <cstddef>
#include <mutex>

namespace bilberry::standin {

/// Largest piece that a paced sender sends at once.
constexpr size_t maxWriteBytes = 65'536;

/// Size of one piece: at most maximumPieceBytes, less when the rate is low.
size_t pacedWriteBytes(double bytesPerSecond);

/// Counts calls against a rate per second, with a burst of one second.
struct CallRateLimiter {
    std::mutex mutex;
    double tokens = 0;
    TimePoint refilledAt {};
};

/// Whether one more call is within the rate; a rate of 0 is unlimited. Thread safe.
bool allowCall(CallRateLimiter&, double callsPerSecond);

} // namespace bilberry::standin
