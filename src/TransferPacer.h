/// Pacing of chunk transfers to a number of bytes per second.
#pragma once

#include "Types.h"

#include <mutex>

namespace bilberry {

/// Spaces out the bytes of all transfers that share a link. Thread safe.
class TransferPacer {
public:
    /// Takes `bytes` into account and returns when they may have been sent at this rate; a rate of 0 is unbounded.
    /// Time without transfers is not saved up.
    TimePoint reserveBytes(uint64_t bytes, double bytesPerSecond, TimePoint now);

private:
    std::mutex mutex;
    TimePoint nextFreeAt {};
};

} // namespace bilberry
