/// What an entry believes about the outside, from the platform's store, and how old that is. The age counts from the sending
/// of the last call that confirmed it, as a holder of a lease counts from the sending of its renewal (PacificA, section 2.3
/// on failure detection).
#pragma once

#include "BootClock.h"
#include "EndpointTable.h"
#include "ProtocolAdapter.h"
#include "RouteTable.h"
#include "VersionSwitch.h"

#include <map>
#include <set>
#include <string>

namespace bilberry {

struct ClusterView {
    RouteTablePointer routes; ///< Null until a configuration was read.
    EndpointTable endpoints;
    std::set<std::string> evacuatedDataCentres;
    std::map<std::string, NamedVersions> namedVersions; ///< By model.
    BootTimePoint confirmedAt {}; ///< When the last call that confirmed all this was sent.
    bool isConfirmed = false; ///< Whether there was such a call.
    Milliseconds namingTimeOffset { 0 }; ///< Time by which a version may have been named before it is read now.
    TimePoint outageEndedAt {}; ///< When the store answered again after it had not.
    uint64_t unreadableItems = 0;
};

/// What a change did, for logs.
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

/// Name for logs. Thread safe.
std::string_view toText(ClusterViewChange);

/// Takes in one change of the store. A configuration older than the one in force, and anything that can't be read, change
/// nothing; what can't be read is described in `fault`.
ClusterViewChange applyStoreChange(ClusterView&, const StoreAdapter&, const StoreChange&, TimePoint now, std::string& fault);

/// Takes in a whole listing: what it doesn't hold is gone, but for the configuration.
void removeUnlistedItems(ClusterView&, const StoreAdapter&, const std::vector<StoreChange>& listing, TimePoint now);

/// Age of what is believed; the longest time when nothing was confirmed. Thread safe.
Milliseconds ageOf(const ClusterView&, BootTimePoint now);

} // namespace bilberry
