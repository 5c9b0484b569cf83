/// What the cluster view holds on to while the platform's store recovers from a loss. The store may come back from a copy
/// that is some seconds old: its era rises, and the changes of those seconds are gone until the operator and the endpoints
/// have written them again. Until then, what the view knew holds wherever it is the safer of the two: an endpoint that was
/// draining or gone isn't used, and an evacuated data centre stays evacuated. The configuration and the named versions never
/// go back in any case (applyStoreChange()). After a limited time, the store's word holds alone. Pure functions without I/O.
#pragma once

#include "ClusterView.h"

#include <string>
#include <vector>

namespace bilberry {

/// Notes the era of an answer of the store, before its items are applied. Returns whether the store has lost changes since
/// the last one, so that the hold begins. An era that isn't higher changes nothing. Not thread safe.
bool noteStoreEra(ClusterView&, uint64_t era, TimePoint now);
/// Returns for how long the hold goes on; zero without one. Thread safe.
Milliseconds eraHoldTimeLeft(const ClusterView&, TimePoint now);
/// Begins the hold that a peer of era `era` states, or prolongs the own one to its end. Does nothing if the view's era is known and
/// differs. Precondition: the peer's changes haven't been applied yet. Not thread safe.
void joinEraHold(ClusterView&, uint64_t era, Milliseconds timeLeft, TimePoint now);
/// Applies an item of a complete listing. An endpoint that the earlier era showed draining or gone isn't used until the hold
/// ends or the endpoint is written again. Otherwise as applyStoreChange(). Not thread safe.
ClusterViewChange applyListedItem(ClusterView&, const StoreAdapter&, const StoreChange&, TimePoint now, std::string& error);
/// Whether an endpoint isn't used because the earlier era showed it draining or gone. Thread safe.
bool isEndpointHeld(const ClusterView&, const std::string& id, TimePoint now);
/// Applies a change that is known from the earlier era only, from a peer: it can keep an endpoint from use, evacuate a data
/// centre, or bring a newer configuration or version, nothing else. Not thread safe.
ClusterViewChange applyEarlierChange(ClusterView&, const StoreAdapter&, const StoreChange&, TimePoint now, std::string& error);
/// Ends the hold when its time has passed, and forgets endpoints that departed long ago. Returns whether the hold has just
/// ended. Is to be called on each tick. Not thread safe.
bool expireEraHold(ClusterView&, TimePoint now);

} // namespace bilberry
