#include "ViewUpdate.h"

#include "StoreEra.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace bilberry {

ViewUpdate updateView(ClusterView& view, StoreReplica& replica, const StoreAdapter& store, const StoreChange& change, bool isListed, TimePoint now)
{
    ViewUpdate update;
    bool isOfEarlierEra = change.era < view.era;
    update.isKnown = !isOfEarlierEra && !replica.isNewer(change);
    if (update.isKnown)
        return update;
    update.effect = isOfEarlierEra ? applyEarlierChange(view, store, change, now, update.error)
        : isListed                 ? applyListedItem(view, store, change, now, update.error)
                                   : applyStoreChange(view, store, change, now, update.error);
    // The replica keeps what is in force, also from an earlier era, since peers may have to learn it from this entry.
    auto key = store.parseKey(change.key);
    bool onlyIncreases = key.kind == StoreKeyKind::Configuration || key.kind == StoreKeyKind::WeightVersion;
    bool isHeld = key.kind == StoreKeyKind::Endpoint && isEndpointHeld(view, key.name, now);
    bool isSuperseded = isHeld || ((onlyIncreases || isOfEarlierEra) && update.effect == ClusterViewChange::None);
    if (!isSuperseded)
        replica.put(change, now);
    else if (isHeld && !isOfEarlierEra)
        replica.isComplete = false;
    return update;
}

void finishListing(ClusterView& view, StoreReplica& replica, const StoreAdapter& store, const std::vector<StoreChange>& listing, const StoreVersion& version, TimePoint now)
{
    auto inForce = replica.removeUnlisted(listing, version, store.configurationKey, store.versionPrefix, now);
    removeUnlistedItems(view, store, inForce, now);
}

void adoptDelta(ClusterView& view, StoreReplica& replica, const StoreAdapter& store, const StoreDelta& delta, uint64_t knownEra, TimePoint now, const ApplyChange& apply)
{
    assert(delta.version.era >= knownEra);
    bool isOfLaterEra = delta.version.era > knownEra;
    auto known = replica.version;
    bool isListing = isOfLaterEra || (delta.isComplete && !(delta.version < known));
    for (const auto& change : delta.changes) {
        // What came after all that this entry knows of the era was written in that era, even if a listing tells it.
        bool isListed = isOfLaterEra || (isListing && !(known < versionOf(change)));
        apply(change, isListed);
    }
    if (!isListing) {
        replica.noteVersion(delta.version);
        return;
    }
    // The peer leaves out what it holds back since the earlier era.
    if (isOfLaterEra)
        replica.isComplete = false;
    std::vector<StoreChange> listing;
    std::copy_if(delta.changes.begin(), delta.changes.end(), std::back_inserter(listing), [&](const StoreChange& change) { return change.era == delta.version.era && !change.isRemoved; });
    finishListing(view, replica, store, listing, delta.version, now);
}

} // namespace bilberry
