/// The cluster view: an entry's copy of the configuration, the endpoints, the evacuations and the weight versions in the
/// platform's store, and the age of this copy. An entry continues to serve from it while the store doesn't answer; the age
/// decides whether requests with keys are still admitted. The age counts from when the last call that confirmed the view
/// was sent, as the holder of a lease counts from when it sent the renewal (PacificA, section 2.3 on failure detection).
#pragma once

#include "BootClock.h"
#include "EndpointTable.h"
#include "EntryConfiguration.h"
#include "ProtocolAdapter.h"
#include "VersionSwitch.h"

#include <map>
#include <set>
#include <string>

namespace bilberry {

struct KnownNaming;

struct ClusterView {
    EntryConfigurationPointer routes; ///< Null until a configuration has been read.
    EndpointTable endpoints;
    std::set<std::string> evacuatedDataCentres; ///< The listed and the held ones; no request may be sent to them.
    std::map<std::string, NamedVersions> namedVersions; ///< The versions that operators have named; the key is the model.
    /// The models and versions of those whose naming time is assumed: the entry has started or the store has lost changes since, so
    /// that it knows no time at which the version wasn't named.
    std::set<std::pair<std::string, uint32_t>> assumedNamings;
    BootTimePoint confirmedAt {}; ///< When the last call that confirmed this view was sent.
    bool isConfirmed = false; ///< Whether any call has confirmed this view.
    /// Until when the store is known to have had nothing newer than the view: the end of the wait of the last call that the store
    /// held for its whole wait and answered without changes.
    BootTimePoint unchangedUntil {};
    BootTimePoint earliestNamingTime {}; ///< The earliest time at which a version that is read now may have been named.
    bool isNamingTimeAssumed = true; ///< Whether that is an assumption, see assumedNamings.
    uint64_t era = 0; ///< The store's era, see StoreEra.h; zero while no answer has stated it.
    TimePoint eraHoldUntil {}; ///< Until when what was known before the store's last loss is held; the default value without one.
    /// When endpoints were removed, or were draining when the store lost changes; the key is the id. Kept for a limited time.
    std::map<std::string, TimePoint> departedEndpoints;
    std::set<std::string> listedEvacuations; ///< The evacuated data centres by the store's current era.
    std::set<std::string> heldEvacuations; ///< Those that the earlier era showed and that haven't been written since.
    std::set<std::string> rewrittenEvacuations; ///< Data centres whose evacuation was set or ended since the store's last loss.
    TimePoint outageEndedAt {}; ///< When the store answered again after its last outage.
    uint64_t unreadableItems = 0; ///< Number of items that could not be parsed.
};

/// The effect of a store change on the cluster view, for logs.
enum class ClusterViewChange : uint8_t {
    None,
    Configuration,
    EndpointListed,
    EndpointDraining,
    EndpointRemoved,
    DataCentreEvacuated,
    DataCentreRestored,
    WeightVersion,
    Unreadable,
};

/// Returns the name that is written to logs. Thread safe.
std::string_view toText(ClusterViewChange);

/// Applies one change of the store. A configuration that isn't newer than the one in force changes nothing. A value that
/// can't be parsed is described in `error`, which is set only then, and changes nothing, except that an endpoint with such
/// a value is removed. A removed endpoint stays listed until EndpointRow::listedUntil. Not thread safe.
ClusterViewChange applyStoreChange(ClusterView&, const StoreAdapter&, const StoreChange&, TimePoint now, std::string& error);

/// Removes endpoints and evacuations of data centres that a complete listing doesn't contain. The configuration, named
/// versions and held evacuations stay. Not thread safe.
void removeUnlistedItems(ClusterView&, const StoreAdapter&, const std::vector<StoreChange>& listing, TimePoint now);

/// Returns what the view knows, and doesn't only assume, of when versions were named lately. Thread safe while the view does not
/// change.
std::vector<KnownNaming> recentNamings(const ClusterView&, BootTimePoint now);

/// Takes over what a peer knows of when versions were named: each entry knows only a time at which a version wasn't named yet, so that
/// the latest of these times is the closest. What this entry only assumes is replaced. `sentAt` is when the peer was asked. Versions that
/// this entry doesn't know, and models whose engines aren't divided among entries, are left out. Preconditions: both are of the same
/// era, and neither holds facts of earlier eras, whose namings may be repeated. Not thread safe.
void adoptNamings(ClusterView&, const std::vector<KnownNaming>&, BootTimePoint sentAt);

/// The bounds that earliestNamingTime() depends on.
struct NamingBounds {
    Milliseconds maxVersionSwitchTime { 0 }; ///< The time within which all engines must have switched to a named version.
    Milliseconds recoveryGracePeriod { 0 }; ///< The time for which a process that has just started is excused.
};

/// Returns the earliest time at which a version that the view doesn't hold yet may have been named. The store didn't have it when
/// the last call that confirmed the view was sent, nor until ClusterView::unchangedUntil. With an unconfirmed view, and while the store may have lost changes, the
/// version may be older; just the grace period is left for the switch then. Thread safe.
BootTimePoint earliestNamingTime(const ClusterView&, const NamingBounds&, bool mayHaveBeenLost, BootTimePoint now);

/// Returns the age of the view, or Milliseconds::max() when no call has confirmed it. Thread safe.
Milliseconds ageOf(const ClusterView&, BootTimePoint now);

} // namespace bilberry
