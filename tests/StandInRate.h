/// Rate limits of a stand-in: the size of paced writes, and a limit of calls per second.
#pragma once

#include "Types.h"
#include <cstddef>
#include <mutex>

namespace bilberry::standin {

/// The largest number of bytes that a paced sender writes at once.
constexpr size_t maxWriteBytes = 65'536;

/// Returns the size of one paced write: at most maxWriteBytes, and less if the rate is low. A rate of 0 is unlimited.
size_t pacedWriteBytes(double bytesPerSecond);

/// A token bucket that limits calls per second. Its capacity is the calls of one second, at least one call.
struct CallRateLimiter {
    std::mutex mutex;
    double tokens = 0;
    TimePoint refilledAt {};
};

/// Returns whether one more call is within the rate, and counts it if so. A rate of 0 is unlimited. Thread safe.
bool allowCall(CallRateLimiter&, double callsPerSecond);

} // namespace bilberry::standin
