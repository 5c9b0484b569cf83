/// Follows a part of the platform's store: lists it, then watches it, and lists it again when its history is lost.
#pragma once

#include "BootClock.h"
#include "EventLoop.h"
#include "HttpChannel.h"
#include "ProtocolAdapter.h"

#include <memory>
#include <string>
#include <vector>

namespace bilberry {

struct StoreWatchSettings {
    Address store;
    std::string prefix; ///< Of the keys to follow; empty: all.
    Milliseconds longPollWait { 1000 }; ///< Longest time that one call waits for a change.
    Milliseconds answerSlack { 700 }; ///< A call that takes that much longer is given up, with its connection.
    Milliseconds pauseBetweenCalls { 40 }; ///< Between two calls, so that changes that come together are taken together.
};

/// What the follower is told.
struct StoreWatchHandlers {
    /// A whole listing, in one go; `sentAt` is when its first call was sent.
    std::function<void(const std::vector<StoreChange>&, BootTimePoint sentAt)> onListing;
    /// Changes since; may be empty, which confirms all that is known.
    std::function<void(const std::vector<StoreChange>&, BootTimePoint sentAt)> onChanges;
    /// A call failed: the reason, and the number of failures in a row.
    std::function<void(const std::string& reason, int failures)> onFailure;
};

/// Used by the loop's thread only; runs from start() until it is destroyed.
class StoreWatch {
public:
    /// Preconditions: loop and dialect outlive it.
    StoreWatch(EventLoop&, const StoreAdapter&, const StoreWatchSettings&, StoreWatchHandlers);
    ~StoreWatch();
    StoreWatch(const StoreWatch&) = delete;
    StoreWatch& operator=(const StoreWatch&) = delete;

    void start();
    /// Calls made so far.
    uint64_t callCount() const;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace bilberry
