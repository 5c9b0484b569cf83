#include "ClusterView.h"

#include "StoreReplica.h"

#include <algorithm>
#include <unordered_set>

namespace bilberry {

// Records of live endpoints that expired during an outage of the store reappear within this time after it.
static constexpr Milliseconds endpointReappearanceTime { 2000 };

std::string_view toText(ClusterViewChange change)
{
    switch (change) {
    case ClusterViewChange::None:
        return "none";
    case ClusterViewChange::Configuration:
        return "configuration";
    case ClusterViewChange::EndpointListed:
        return "endpoint_listed";
    case ClusterViewChange::EndpointDraining:
        return "endpoint_draining";
    case ClusterViewChange::EndpointRemoved:
        return "endpoint_removed";
    case ClusterViewChange::DataCentreEvacuated:
        return "data_centre_out";
    case ClusterViewChange::DataCentreRestored:
        return "data_centre_back";
    case ClusterViewChange::WeightVersion:
        return "weight_version";
    case ClusterViewChange::Unreadable:
        return "unreadable";
    }
    return "none";
}

static ClusterViewChange noteUnreadableItem(ClusterView& view, const absl::Status& status, std::string& error)
{
    ++view.unreadableItems;
    error = std::string(status.message());
    return ClusterViewChange::Unreadable;
}

static ClusterViewChange applyConfiguration(ClusterView& view, const StoreAdapter& adapter, const StoreChange& change, std::string& error)
{
    if (change.isRemoved)
        return ClusterViewChange::None;
    auto table = adapter.parseRouteTable(change.value);
    if (!table.ok())
        return noteUnreadableItem(view, table.status(), error);
    if (view.routes && table->generation <= view.routes->generation)
        return ClusterViewChange::None;
    view.routes = std::make_shared<const EntryConfiguration>(*std::move(table));
    return ClusterViewChange::Configuration;
}

// Removes an endpoint, but not before endpointReappearanceTime has passed since an outage of the store ended: its record may
// have expired only because the endpoint couldn't renew it.
static ClusterViewChange removeEndpoint(ClusterView& view, const std::string& id, TimePoint now)
{
    if (view.endpoints.rowById.count(id) == 0)
        return ClusterViewChange::None;
    view.endpoints.remove(id, std::max(now, view.outageEndedAt + endpointReappearanceTime));
    return ClusterViewChange::EndpointRemoved;
}

static ClusterViewChange applyEndpoint(ClusterView& view, const StoreAdapter& adapter, const StoreKey& key, const StoreChange& change, TimePoint now, std::string& error)
{
    if (change.isRemoved) {
        view.departedEndpoints[key.name] = now;
        return removeEndpoint(view, key.name, now);
    }
    auto record = adapter.parseEndpoint(key.name, change.value);
    if (!record.ok()) {
        // The record doesn't describe a usable endpoint.
        removeEndpoint(view, key.name, now);
        return noteUnreadableItem(view, record.status(), error);
    }
    auto found = view.endpoints.rowById.find(key.name);
    bool hasChanged = found == view.endpoints.rowById.end() || !view.endpoints.rows[found->second].isListed || differs(view.endpoints.rows[found->second].record, *record);
    view.departedEndpoints.erase(key.name);
    auto& row = view.endpoints.rows[view.endpoints.upsert(*record, now)];
    row.heldUntil = TimePoint();
    row.isWrittenInEra = true;
    if (!hasChanged)
        return ClusterViewChange::None;
    return record->isDraining ? ClusterViewChange::EndpointDraining : ClusterViewChange::EndpointListed;
}

static ClusterViewChange applyDataCentre(ClusterView& view, const StoreKey& key, const StoreChange& change)
{
    view.rewrittenEvacuations.insert(key.name);
    view.heldEvacuations.erase(key.name);
    if (change.isRemoved)
        view.listedEvacuations.erase(key.name);
    else
        view.listedEvacuations.insert(key.name);
    if (change.isRemoved)
        return view.evacuatedDataCentres.erase(key.name) > 0 ? ClusterViewChange::DataCentreRestored : ClusterViewChange::None;
    return view.evacuatedDataCentres.insert(key.name).second ? ClusterViewChange::DataCentreEvacuated : ClusterViewChange::None;
}

static ClusterViewChange applyVersion(ClusterView& view, const StoreAdapter& adapter, const StoreKey& key, const StoreChange& change, std::string& error)
{
    if (change.isRemoved)
        return ClusterViewChange::None;
    auto version = adapter.parseWeightVersion(change.value);
    if (!version.ok())
        return noteUnreadableItem(view, version.status(), error);
    auto& named = view.namedVersions[key.name];
    bool isNewer = named.empty() || *version > named.rbegin()->first;
    if (!isNewer)
        return ClusterViewChange::None;
    named[*version] = view.earliestNamingTime;
    if (view.isNamingTimeAssumed)
        view.assumedNamings.emplace(key.name, *version);
    return ClusterViewChange::WeightVersion;
}

ClusterViewChange applyStoreChange(ClusterView& view, const StoreAdapter& adapter, const StoreChange& change, TimePoint now, std::string& error)
{
    auto key = adapter.parseKey(change.key);
    switch (key.kind) {
    case StoreKeyKind::Configuration:
        return applyConfiguration(view, adapter, change, error);
    case StoreKeyKind::Endpoint:
        return applyEndpoint(view, adapter, key, change, now, error);
    case StoreKeyKind::DataCentreEvacuation:
        return applyDataCentre(view, key, change);
    case StoreKeyKind::WeightVersion:
        return applyVersion(view, adapter, key, change, error);
    case StoreKeyKind::Other:
        return ClusterViewChange::None;
    }
    return ClusterViewChange::None;
}

void removeUnlistedItems(ClusterView& view, const StoreAdapter& adapter, const std::vector<StoreChange>& listing, TimePoint now)
{
    std::unordered_set<std::string> endpoints;
    std::set<std::string> evacuatedDataCentres;
    for (const auto& item : listing) {
        auto key = adapter.parseKey(item.key);
        if (key.kind == StoreKeyKind::Endpoint)
            endpoints.insert(key.name);
        else if (key.kind == StoreKeyKind::DataCentreEvacuation)
            evacuatedDataCentres.insert(key.name);
    }
    view.listedEvacuations = std::move(evacuatedDataCentres);
    view.evacuatedDataCentres = view.listedEvacuations;
    view.evacuatedDataCentres.insert(view.heldEvacuations.begin(), view.heldEvacuations.end());
    std::vector<std::string> unlistedEndpoints;
    for (const auto& [id, row] : view.endpoints.rowById) {
        if (endpoints.count(id) == 0)
            unlistedEndpoints.push_back(id);
    }
    for (const auto& id : unlistedEndpoints) {
        // Endpoints that registered in the seconds that the store has lost haven't departed.
        if (now >= view.eraHoldUntil)
            view.departedEndpoints[id] = now;
        removeEndpoint(view, id, now);
    }
}

std::vector<KnownNaming> recentNamings(const ClusterView& view, BootTimePoint now)
{
    std::vector<KnownNaming> namings;
    for (const auto& [model, versions] : view.namedVersions) {
        for (const auto& [version, namedAt] : versions) {
            auto knownFor = std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(now - namedAt));
            bool isAssumed = view.assumedNamings.count({ model, version }) != 0;
            if (knownFor <= maxToldNamingAge && !isAssumed)
                namings.push_back({ model, version, knownFor });
        }
    }
    return namings;
}

// Whether the entries divide the engines that serve a model among themselves.
static bool isModelShared(const ClusterView& view, const std::string& model)
{
    auto isShared = [&](const ServiceSettings& service) {
        bool isServed = std::any_of(service.models.begin(), service.models.end(), [&](const ServedModel& served) { return served.name == model; });
        return isServed && sharesEngines(service, view.endpoints);
    };
    return view.routes && std::any_of(view.routes->services.begin(), view.routes->services.end(), isShared);
}

void adoptNamings(ClusterView& view, const std::vector<KnownNaming>& namings, BootTimePoint sentAt)
{
    for (const auto& naming : namings) {
        if (!isModelShared(view, naming.model))
            continue;
        auto model = view.namedVersions.find(naming.model);
        if (model == view.namedVersions.end())
            continue;
        auto version = model->second.find(naming.version);
        if (version == model->second.end())
            continue;
        bool wasAssumed = view.assumedNamings.erase({ naming.model, naming.version }) != 0;
        version->second = closerNamingTime({ version->second, wasAssumed }, { sentAt - naming.knownFor, false }).namedAfter;
    }
}

BootTimePoint earliestNamingTime(const ClusterView& view, const NamingBounds& bounds, bool mayHaveBeenLost, BootTimePoint now)
{
    auto unknownNamingTime = now - std::max(Milliseconds(0), bounds.maxVersionSwitchTime - bounds.recoveryGracePeriod);
    if (!view.isConfirmed)
        return unknownNamingTime;
    auto lastKnownWithout = std::max(view.confirmedAt, view.unchangedUntil);
    return mayHaveBeenLost ? std::min(lastKnownWithout, unknownNamingTime) : lastKnownWithout;
}

Milliseconds ageOf(const ClusterView& view, BootTimePoint now)
{
    if (!view.isConfirmed)
        return Milliseconds::max();
    return std::chrono::duration_cast<Milliseconds>(now - view.confirmedAt);
}

} // namespace bilberry
