#include "TransferQueue.h"

#include <algorithm>
#include <tuple>

namespace bilberry {

size_t chooseNextTransfer(const std::vector<WaitingTransfer>& waiting)
{
    auto isBefore = [](const WaitingTransfer& first, const WaitingTransfer& second) {
        return std::make_tuple(!first.crossesRegions, first.ticket) < std::make_tuple(!second.crossesRegions, second.ticket);
    };
    return static_cast<size_t>(std::min_element(waiting.begin(), waiting.end(), isBefore) - waiting.begin());
}

void TransferQueue::acquireSlot(bool crossesRegions)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    uint64_t ticket = this->nextTicket++;
    this->waiting.push_back({ ticket, crossesRegions });
    auto isTurn = [&] { return this->inProgress < maxConcurrentTransfers && this->waiting[chooseNextTransfer(this->waiting)].ticket == ticket; };
    this->changed.wait_for(lock, maxTransferWait, isTurn);
    auto isOwn = [&](const WaitingTransfer& other) { return other.ticket == ticket; };
    this->waiting.erase(std::find_if(this->waiting.begin(), this->waiting.end(), isOwn));
    ++this->inProgress;
    this->changed.notify_all();
}

void TransferQueue::releaseSlot()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    --this->inProgress;
    this->changed.notify_all();
}

} // namespace bilberry
