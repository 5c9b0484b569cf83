/// An entry's replica of the items in the platform's store. Another entry that can't reach the store fetches the changes
/// that it lacks from this replica.
#pragma once

#include "StoreChange.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <map>
#include <string>
#include <vector>

namespace bilberry {

/// Used by one thread at a time.
struct StoreReplica {
    struct Row {
        StoreChange change;
        TimePoint appliedAt {}; ///< When this entry applied the change; decides when a tombstone is removed.
    };

    std::map<std::string, Row> rows; ///< The latest change of each key; removals stay as tombstones for a limited time.
    uint64_t revision = 0; ///< The revision of the newest change.

    /// Applies a change. Returns false when the replica already has a change of that key that is at least as new.
    bool applyChange(const StoreChange&, TimePoint now);
    /// Removes tombstones that are old enough for every entry to have received them.
    void removeExpiredTombstones(TimePoint now);
};

/// The changes that one entry sends to another one.
struct StoreDelta {
    Milliseconds age { 0 }; ///< The age of the sender's cluster view when it received the request.
    uint64_t revision = 0; ///< The revision of the sender's newest change.
    std::vector<StoreChange> changes; ///< All changes after the requested revision, oldest first.
};

/// Returns the changes after a revision, oldest first. Thread safe.
std::vector<StoreChange> changesAfter(const StoreReplica&, uint64_t revision);

/// Encodes the delta as MessagePack. Thread safe.
std::string encodeStoreDelta(const StoreDelta&);
/// Returns InvalidArgument for bytes that aren't a store delta. Thread safe.
absl::StatusOr<StoreDelta> decodeStoreDelta(const std::string& bytes);

} // namespace bilberry
