/// Follows the keys under a prefix of the platform's store: lists them, then watches them for changes by long polling, and
/// lists them again when the store no longer has the history since the last call, or has come back from an older copy.
#pragma once

#include "BootClock.h"
#include "EventLoop.h"
#include "HttpChannel.h"
#include "ProtocolAdapter.h"
#include "StoreVersion.h"

#include <memory>
#include <string>
#include <vector>

namespace bilberry {

struct StoreWatchSettings {
    Address store;
    std::string prefix; ///< The prefix of the keys to follow; all keys if empty.
    Milliseconds longPollWait { 1000 }; ///< The longest time for which the store holds one call while there is no change.
    Milliseconds timeoutMargin { 700 }; ///< Added to `longPollWait` to get the timeout of a watch call.
    Milliseconds pauseBetweenCalls { 40 }; ///< Lets changes that come close together arrive in one answer.
};

/// The callbacks of a StoreWatch, which are called on the loop's thread. All but onUnreadable must be set.
struct StoreWatchHandlers {
    /// Receives a complete listing of all pages, which are of one era. `version` is that of its first page: later changes may be
    /// missing. `sentAt` is when the call for that page was sent.
    std::function<void(const std::vector<StoreChange>&, const StoreVersion& version, BootTimePoint sentAt)> onListing;
    /// Receives the changes since the last call, which are of the era of the last listing. An empty list confirms that nothing has changed. `sentAt` is when the call
    /// was sent.
    std::function<void(const std::vector<StoreChange>&, BootTimePoint sentAt)> onChanges;
    /// Is called when a call has failed, with the reason and the number of consecutive failures.
    std::function<void(const std::string& reason, int failures)> onFailure;
    /// Is called for each item that couldn't be read and is left out, with what is wrong with it; may be empty.
    std::function<void(const std::string& fault)> onUnreadable {};
};

/// Used by the loop's thread only; runs from start() until it is destroyed.
class StoreWatch {
public:
    /// Preconditions: the loop and the adapter outlive the watch.
    StoreWatch(EventLoop&, const StoreAdapter&, const StoreWatchSettings&, StoreWatchHandlers);
    ~StoreWatch();
    StoreWatch(const StoreWatch&) = delete;
    StoreWatch& operator=(const StoreWatch&) = delete;

    void start();
    /// Ends the calls after the one in flight, or goes on with them. `version` is the newest change that the owner has from
    /// elsewhere; going on, the watch continues from it if it is of the same era.
    void setPaused(bool, const StoreVersion& version);
    /// Returns the number of listing and watch calls sent so far, failed ones included.
    uint64_t callCount() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bilberry
