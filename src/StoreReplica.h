/// An entry's replica of the items in the platform's store. Another entry fetches the changes that it lacks from this replica. Where the
/// replica doesn't know all removals since that entry's version, it tells all items, so that the other one drops what is missing.
#pragma once

#include "StoreChange.h"
#include "StoreVersion.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// Used by one thread at a time.
struct StoreReplica {
    struct Row {
        StoreChange change;
        TimePoint appliedAt {}; ///< When this entry applied the change; decides when a tombstone is removed.
    };

    std::map<std::string, Row> rows; ///< The latest change of each key; removals stay as tombstones for a limited time.
    StoreVersion version; ///< The era and revision up to which the replica has all changes.
    /// From which version on it knows all removals; empty before the first listing.
    std::optional<StoreVersion> historyFrom;
    bool isComplete = false; ///< Whether the rows have all items that the store had at `version`.

    /// Whether the replica has no change of that key that is at least as new.
    bool isNewer(const StoreChange&) const;
    /// Replaces what the replica has of that key. The version doesn't rise: changes before this one may be missing.
    void put(const StoreChange&, TimePoint now);
    /// Raises the replica's version: it has all changes up to that one.
    void noteVersion(const StoreVersion&);
    /// Is to be called before the items of the store's own listing are put. `era` is that of the listing.
    void beginListing(uint64_t era);
    /// Makes removals of the items that a complete listing of `version` lacks, and raises the replica's version to it. Items that are
    /// as new as the listing, or newer, stay, as do those of earlier eras, the configuration and keys with `versionPrefix`. Returns
    /// the listing with the unlisted items of its era and later ones that stay.
    std::vector<StoreChange> removeUnlisted(const std::vector<StoreChange>& listing, const StoreVersion& version, std::string_view configurationKey, std::string_view versionPrefix, TimePoint now);
    /// Removes rows of earlier eras, except for the key of the configuration and keys with that prefix, whose newest value
    /// holds in any era.
    void removeEarlierEras(std::string_view configurationKey, std::string_view versionPrefix);
    /// Removes tombstones that are old enough for every entry to have received them.
    void removeExpiredTombstones(TimePoint now);
};

/// The age up to which entries tell each other when versions were named.
constexpr Milliseconds maxToldNamingAge { 60'000 };

/// The naming of a version of a model's weights, as the sender knows it.
struct KnownNaming {
    std::string model;
    uint32_t version = 0;
    Milliseconds knownFor { 0 }; ///< The longest time for which it may have been named when the sender received the request.
};

/// The changes that one entry sends to another one.
struct StoreDelta {
    Milliseconds age { 0 }; ///< The age of the sender's cluster view when it received the request.
    StoreVersion version; ///< The era and revision of the sender's newest change.
    Milliseconds holdTimeLeft { 0 }; ///< For how long the sender still holds facts of earlier eras, see StoreEra.h.
    /// All changes after the requested version, oldest first, and those that the sender holds from earlier eras.
    std::vector<StoreChange> changes;
    std::vector<KnownNaming> namings; ///< Those of the last minute; none while the sender holds facts of earlier eras.
    bool isComplete = false; ///< Whether the changes are all items of the era, so that what they lack has been removed.
};

/// The changes that an entry tells another one, with StoreDelta::isComplete.
struct ToldChanges {
    std::vector<StoreChange> changes;
    bool isComplete = false;
};

/// Returns the version of a change. Thread safe.
StoreVersion versionOf(const StoreChange&);
/// Returns the changes after a version, oldest first, and all changes of eras before the replica's. If the requested version
/// is of a later era than the replica's, returns all changes. Thread safe.
std::vector<StoreChange> changesAfter(const StoreReplica&, const StoreVersion&);

/// Returns what an entry that has all changes up to a version is told: those after it, or all items where the removals since then aren't
/// known. Returns std::nullopt if the replica has neither. Thread safe.
std::optional<ToldChanges> changesToTell(const StoreReplica&, const StoreVersion&);

/// Encodes the delta as MessagePack. Thread safe.
std::string encodeStoreDelta(const StoreDelta&);
/// Returns InvalidArgument for bytes that aren't a store delta. Thread safe.
absl::StatusOr<StoreDelta> decodeStoreDelta(const std::string& bytes);

} // namespace bilberry
