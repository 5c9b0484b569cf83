#include "TransferPacer.h"

#include <algorithm>

namespace bilberry {

TimePoint TransferPacer::reserveBytes(uint64_t bytes, double bytesPerSecond, TimePoint now)
{
    if (bytesPerSecond <= 0)
        return now;
    auto cost = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerSecond));
    std::lock_guard<std::mutex> lock(this->mutex);
    this->nextFreeAt = std::max(this->nextFreeAt, now) + cost;
    return this->nextFreeAt;
}

} // namespace bilberry
