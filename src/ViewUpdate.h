/// Keeps an entry's cluster view and its replica of the store in step: what a listing lacks leaves both, and becomes a removal that
/// other entries are told. Functions without I/O, for any load.
#pragma once

#include "ClusterView.h"
#include "StoreReplica.h"

#include <functional>
#include <string>
#include <vector>

namespace bilberry {

/// What a change did to the view and the replica.
struct ViewUpdate {
    ClusterViewChange effect = ClusterViewChange::None;
    std::string error; ///< Why the value couldn't be read; set only for ClusterViewChange::Unreadable.
    bool isKnown = false; ///< Whether the replica had a change of that key that is at least as new, so that nothing was done.
};

/// Applies one change to the view and the replica, whose version doesn't rise with it. `isListed` tells that the change comes from a
/// complete listing, which doesn't tell when it was made (see applyListedItem()). Not thread safe.
ViewUpdate updateView(ClusterView&, StoreReplica&, const StoreAdapter&, const StoreChange&, bool isListed, TimePoint now);

/// Removes what a complete listing of `version` lacks, except for what the replica knows from newer changes. Precondition: noteStoreEra()
/// was called for the listing's era, and updateView() for its items, after beginListing(). Not thread safe.
void finishListing(ClusterView&, StoreReplica&, const StoreAdapter&, const std::vector<StoreChange>& listing, const StoreVersion& version, TimePoint now);

/// Applies a change; `isListed` as for updateView().
using ApplyChange = std::function<void(const StoreChange&, bool isListed)>;

/// Takes over what another entry tells, by `apply` for each change, and drops what a complete delta lacks. `knownEra` is the view's era
/// before noteStoreEra() was called for the delta's. Precondition: the delta's era isn't lower than that. Not thread safe.
void adoptDelta(ClusterView&, StoreReplica&, const StoreAdapter&, const StoreDelta&, uint64_t knownEra, TimePoint now, const ApplyChange& apply);

} // namespace bilberry
