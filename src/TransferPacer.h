/// Limits chunk transfers to a number of bytes per second.
#pragma once

#include "Types.h"

#include <mutex>

namespace bilberry {

/// Paces the bytes of all transfers that share a link. Thread safe.
class TransferPacer {
public:
    /// Reserves link time for `bytes` and returns when their transmission at this rate ends; a rate of 0 is unbounded.
    /// Idle time earns no credit for a later burst.
    TimePoint reserveBytes(uint64_t bytes, double bytesPerSecond, TimePoint now);

private:
    std::mutex mutex;
    TimePoint nextFreeAt {};
};

} // namespace bilberry
