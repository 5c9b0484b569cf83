/// The order in which chunks are sent to peers: few at a time, so that the first receivers soon pass them on.
#pragma once

#include "Types.h"

#include <condition_variable>
#include <mutex>
#include <vector>

namespace bilberry {

/// One send that waits for its turn.
struct WaitingTransfer {
    uint64_t ticket = 0; ///< Grows in the order of arrival.
    bool crossesRegions = false;
};

/// Sends in progress beyond which others wait.
constexpr size_t maxConcurrentTransfers = 2;
/// Longest wait for a turn; well below the silence at which a receiver gives a transfer up.
constexpr Milliseconds maxTransferWait { 1000 };

/// Position of the send that is next: one to another region, which a whole region waits for, else the oldest.
/// Precondition: some wait. Thread safe.
size_t chooseNextTransfer(const std::vector<WaitingTransfer>&);

/// Lets sends through in that order, at most maxTransfers at a time, and each at the latest after maxTransferWait, so that
/// receivers that stall hold up the others for a bounded time. Thread safe.
class TransferQueue {
public:
    /// Blocks until the send may begin; it must leave() again.
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
