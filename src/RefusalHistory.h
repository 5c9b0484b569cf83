/// Requests that were refused lately and may come back, at any entry. Answers an overload in which those who come back compete
/// with newcomers: one that can't be on time any more goes after those who still can.
#pragma once

#include "Types.h"

#include <unordered_map>
#include <vector>

namespace bilberry {

/// A refused request, as entries tell each other.
struct RefusedRequest {
    uint64_t fingerprint = 0;
    Milliseconds timeSinceFirstArrival { 0 }; ///< Since its first arrival.
};

/// Used by one thread at a time.
struct RefusalHistory {
    struct Row {
        TimePoint firstArrivedAt {}; ///< First arrival.
        TimePoint refusedAt {};
    };

    std::unordered_map<uint64_t, Row> rows; ///< By fingerprint.

    /// Notes a refusal of a request that first arrived at `firstAt`.
    void addRefusal(uint64_t fingerprint, TimePoint firstAt, TimePoint now);
    /// First arrival of a request that arrives now: earlier when it was refused before.
    TimePoint firstArrival(uint64_t fingerprint, TimePoint now) const;
    /// Forgets requests that won't come back any more.
    void removeExpired(TimePoint now);
};

/// Refusals newer than `since`, at most `most`. Thread safe.
std::vector<RefusedRequest> refusalsSince(const RefusalHistory&, TimePoint since, size_t most, TimePoint now);

} // namespace bilberry
