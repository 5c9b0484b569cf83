#include "StoreEra.h"

#include <algorithm>
#include <iterator>

namespace bilberry {

// Time within which the operator and the endpoints write again what the store has lost.
static constexpr Milliseconds rewriteTime { 10'000 };
// Time for which departed endpoints are remembered. A copy of the store that is older than this isn't expected.
static constexpr Seconds departureMemory { 60 };

bool noteStoreEra(ClusterView& view, uint64_t era, TimePoint now)
{
    if (era <= view.era)
        return false;
    bool isFirst = view.era == 0;
    view.era = era;
    if (isFirst)
        return false;
    view.eraHoldUntil = now + rewriteTime;
    // Endpoints that registered in the lost seconds register again, like those whose records expire in an outage.
    view.outageEndedAt = now;
    for (auto& row : view.endpoints.rows) {
        row.isWrittenInEra = false;
        if (row.record.isDraining)
            view.departedEndpoints[row.record.id] = now;
    }
    view.heldEvacuations = view.evacuatedDataCentres;
    view.rewrittenEvacuations.clear();
    return true;
}

static bool isHoldActive(const ClusterView& view, TimePoint now)
{
    return now < view.eraHoldUntil;
}

Milliseconds eraHoldTimeLeft(const ClusterView& view, TimePoint now)
{
    return isHoldActive(view, now) ? std::chrono::duration_cast<Milliseconds>(view.eraHoldUntil - now) : Milliseconds(0);
}

void joinEraHold(ClusterView& view, uint64_t era, Milliseconds timeLeft, TimePoint now)
{
    bool isEraKnown = view.era != 0;
    if (isEraKnown && era != view.era)
        return;
    auto bounded = std::min(timeLeft, rewriteTime);
    if (bounded > Milliseconds(0))
        view.eraHoldUntil = std::max(view.eraHoldUntil, now + bounded);
}

// Keeps an endpoint from use until the hold ends.
static void holdEndpoint(ClusterView& view, const std::string& id)
{
    auto found = view.endpoints.rowById.find(id);
    if (found != view.endpoints.rowById.end())
        view.endpoints.rows[found->second].heldUntil = view.eraHoldUntil;
}

ClusterViewChange applyListedItem(ClusterView& view, const StoreAdapter& adapter, const StoreChange& item, TimePoint now, std::string& error)
{
    auto key = adapter.parseKey(item.key);
    if (key.kind == StoreKeyKind::DataCentreEvacuation) {
        view.listedEvacuations.insert(key.name);
        return view.evacuatedDataCentres.insert(key.name).second ? ClusterViewChange::DataCentreEvacuated : ClusterViewChange::None;
    }
    if (key.kind != StoreKeyKind::Endpoint)
        return applyStoreChange(view, adapter, item, now, error);
    // A listing doesn't tell whether the record was written before the loss or after it.
    auto departed = view.departedEndpoints.find(key.name);
    bool hasDeparted = departed != view.departedEndpoints.end() && isHoldActive(view, now);
    auto departedAt = hasDeparted ? departed->second : TimePoint();
    auto known = view.endpoints.rowById.find(key.name);
    bool wasWrittenInEra = known != view.endpoints.rowById.end() && view.endpoints.rows[known->second].isWrittenInEra;
    auto change = applyStoreChange(view, adapter, item, now, error);
    if (auto found = view.endpoints.rowById.find(key.name); found != view.endpoints.rowById.end())
        view.endpoints.rows[found->second].isWrittenInEra = wasWrittenInEra;
    if (hasDeparted) {
        view.departedEndpoints[key.name] = departedAt;
        holdEndpoint(view, key.name);
    }
    return change;
}

bool isEndpointHeld(const ClusterView& view, const std::string& id, TimePoint now)
{
    auto found = view.endpoints.rowById.find(id);
    return found != view.endpoints.rowById.end() && now < view.endpoints.rows[found->second].heldUntil;
}

// Keeps an endpoint from use that a peer knows as draining or gone since the earlier era.
static ClusterViewChange applyEarlierEndpoint(ClusterView& view, const StoreAdapter& adapter, const std::string& id, const StoreChange& change, TimePoint now)
{
    if (!change.isRemoved) {
        auto record = adapter.parseEndpoint(id, change.value);
        if (record.ok() && !record->isDraining)
            return ClusterViewChange::None;
    }
    view.departedEndpoints[id] = now;
    // A record that this era's changes brought was written by the endpoint after the loss, so it holds.
    auto found = view.endpoints.rowById.find(id);
    bool isRewritten = found != view.endpoints.rowById.end() && view.endpoints.rows[found->second].isWrittenInEra;
    if (!isRewritten)
        holdEndpoint(view, id);
    return ClusterViewChange::None;
}

ClusterViewChange applyEarlierChange(ClusterView& view, const StoreAdapter& adapter, const StoreChange& change, TimePoint now, std::string& error)
{
    auto key = adapter.parseKey(change.key);
    switch (key.kind) {
    case StoreKeyKind::Configuration:
    case StoreKeyKind::WeightVersion:
        return applyStoreChange(view, adapter, change, now, error);
    case StoreKeyKind::Endpoint:
        return isHoldActive(view, now) ? applyEarlierEndpoint(view, adapter, key.name, change, now) : ClusterViewChange::None;
    case StoreKeyKind::DataCentreEvacuation:
        if (change.isRemoved || !isHoldActive(view, now) || view.rewrittenEvacuations.count(key.name) != 0)
            return ClusterViewChange::None;
        view.heldEvacuations.insert(key.name);
        return view.evacuatedDataCentres.insert(key.name).second ? ClusterViewChange::DataCentreEvacuated : ClusterViewChange::None;
    case StoreKeyKind::Other:
        return ClusterViewChange::None;
    }
    return ClusterViewChange::None;
}

bool expireEraHold(ClusterView& view, TimePoint now)
{
    for (auto departed = view.departedEndpoints.begin(); departed != view.departedEndpoints.end();)
        departed = now - departed->second > departureMemory ? view.departedEndpoints.erase(departed) : std::next(departed);
    if (view.eraHoldUntil == TimePoint() || isHoldActive(view, now))
        return false;
    view.eraHoldUntil = TimePoint();
    view.evacuatedDataCentres = view.listedEvacuations;
    view.heldEvacuations.clear();
    view.rewrittenEvacuations.clear();
    return true;
}

} // namespace bilberry
