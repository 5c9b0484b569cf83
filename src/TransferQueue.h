/// Decides the order in which chunks are sent to peers while many peers want a new version at once. Few are sent at a time,
/// so that the first receivers soon have whole chunks to pass on.
#pragma once

#include "Types.h"

#include <condition_variable>
#include <mutex>
#include <vector>

namespace bilberry {

/// A transfer that waits for a slot.
struct WaitingTransfer {
    uint64_t ticket = 0; ///< Number that increases in the order of arrival.
    bool crossesRegions = false;
};

/// The number of transfers in progress from which on further ones wait.
constexpr size_t maxConcurrentTransfers = 2;
/// The longest wait for a slot. It is well below the silence after which a receiver aborts a transfer.
constexpr Milliseconds maxTransferWait { 1000 };

/// Position of the transfer that is next. Transfers to another region come first, since a whole region waits for each;
/// otherwise the oldest one does. Precondition: the list is not empty. Thread safe.
size_t chooseNextTransfer(const std::vector<WaitingTransfer>&);

/// Grants slots in the order of chooseNextTransfer(), at most maxConcurrentTransfers at a time. A transfer that has
/// waited for maxTransferWait starts regardless, so that stalled receivers delay the others for a bounded time only.
/// Thread safe.
class TransferQueue {
public:
    /// Blocks until the transfer may begin. The caller calls releaseSlot() when it has ended.
    void acquireSlot(bool crossesRegions);
    void releaseSlot();

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<WaitingTransfer> waiting;
    uint64_t nextTicket = 0;
    size_t inProgress = 0;
};

} // namespace bilberry
