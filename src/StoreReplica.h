/// An entry's copy of what the platform's store holds, so that another entry which the store turns away can live from it.
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
        TimePoint appliedAt {};
    };

    std::map<std::string, Row> rows; ///< By key; removals are kept for a while.
    uint64_t revision = 0; ///< Of the newest change.

    /// Takes in a change; false when one as new of that key is known already.
    bool applyChange(const StoreChange&, TimePoint now);
    /// Forgets removals that every entry has heard of.
    void removeExpiredTombstones(TimePoint now);
};

/// What one entry gives another.
struct StoreDelta {
    Milliseconds age { 0 }; ///< Of the giver's knowledge, when it was asked.
    uint64_t revision = 0; ///< Of the giver's newest change.
    std::vector<StoreChange> changes; ///< Newer than what was asked for, oldest first.
};

/// The changes after a revision. Thread safe.
std::vector<StoreChange> changesAfter(const StoreReplica&, uint64_t revision);

std::string encodeStoreDelta(const StoreDelta&);
/// Fails for bytes that are no excerpt. Thread safe.
absl::StatusOr<StoreDelta> decodeStoreDelta(const std::string& bytes);

} // namespace bilberry
