/// Requests that were recently refused and may come back at any entry. Under overload, requests that come back compete with
/// new ones. The time of their first arrival is kept, so that a request that can no longer meet its target latency is queued
/// behind those that still can.
#pragma once

#include "Types.h"

#include <unordered_map>
#include <vector>

namespace bilberry {

/// A refused request as entries report it to each other.
struct RefusedRequest {
    uint64_t fingerprint = 0;
    Milliseconds timeSinceFirstArrival { 0 }; ///< By the clock of the reporting entry, until it makes the report.
};

/// Used by one thread at a time.
struct RefusalHistory {
    struct Row {
        TimePoint firstArrivedAt {};
        TimePoint refusedAt {}; ///< When the request was last refused.
    };

    std::unordered_map<uint64_t, Row> rows; ///< Rows by the request's fingerprint.

    /// Records a refusal of a request that first arrived at `firstArrivedAt`. Ignores new requests when the history is full.
    void addRefusal(uint64_t fingerprint, TimePoint firstArrivedAt, TimePoint now);
    /// First arrival of a request that arrives at `now`. It is earlier than `now` if the request was refused before.
    TimePoint firstArrival(uint64_t fingerprint, TimePoint now) const;
    /// Removes requests that are no longer expected to come back.
    void removeExpired(TimePoint now);
};

/// Refusals at `since` or later, at most `maxCount`. The order, and which ones are omitted when there are more, is
/// unspecified. Thread safe while the history does not change.
std::vector<RefusedRequest> refusalsSince(const RefusalHistory&, TimePoint since, size_t maxCount, TimePoint now);

} // namespace bilberry
