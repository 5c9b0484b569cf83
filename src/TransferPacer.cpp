#include "TransferPacer.h"

#include <algorithm>

namespace bilberry {

TimePoint TransferPacer::reserve(uint64_t bytes, double bytesPerSecond, TimePoint now)
{
    if (bytesPerSecond <= 0)
        return now;
    auto cost = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerSecond));
    std::lock_guard<std::mutex> lock(this->mutex);
    this->nextFree = std::max(this->nextFree, now) + cost;
    return this->nextFree;
}

} // namespace bilberry
