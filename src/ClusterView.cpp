#include "ClusterView.h"

#include <unordered_set>

namespace bilberry {

// Time after an outage of the store in which entries of live endpoints that had lapsed come back.
static constexpr Milliseconds endpointReappearanceTime { 2000 };

std::string_view toText(ClusterViewChange step)
{
    switch (step) {
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

static ClusterViewChange noteUnreadableItem(ClusterView& belief, const absl::Status& status, std::string& fault)
{
    ++belief.unreadableItems;
    fault = std::string(status.message());
    return ClusterViewChange::Unreadable;
}

static ClusterViewChange applyConfiguration(ClusterView& belief, const StoreAdapter& dialect, const StoreChange& change, std::string& fault)
{
    if (change.isRemoved)
        return ClusterViewChange::None;
    auto table = dialect.parseRouteTable(change.value);
    if (!table.ok())
        return noteUnreadableItem(belief, table.status(), fault);
    if (belief.routes && table->generation <= belief.routes->generation)
        return ClusterViewChange::None;
    belief.routes = std::make_shared<const RouteTable>(*std::move(table));
    return ClusterViewChange::Configuration;
}

// An entry that goes while the store comes back may have lapsed only because the store was away.
static ClusterViewChange removeEndpoint(ClusterView& belief, const std::string& id, TimePoint now)
{
    if (belief.endpoints.rowById.count(id) == 0)
        return ClusterViewChange::None;
    belief.endpoints.remove(id, std::max(now, belief.outageEndedAt + endpointReappearanceTime));
    return ClusterViewChange::EndpointRemoved;
}

static ClusterViewChange applyEndpoint(ClusterView& belief, const StoreAdapter& dialect, const StoreKey& key, const StoreChange& change, TimePoint now, std::string& fault)
{
    if (change.isRemoved)
        return removeEndpoint(belief, key.name, now);
    auto record = dialect.parseEndpoint(key.name, change.value);
    if (!record.ok()) {
        // The entry names no endpoint to use.
        removeEndpoint(belief, key.name, now);
        return noteUnreadableItem(belief, record.status(), fault);
    }
    auto found = belief.endpoints.rowById.find(key.name);
    bool isNews = found == belief.endpoints.rowById.end() || !belief.endpoints.rows[found->second].isListed || differs(belief.endpoints.rows[found->second].record, *record);
    belief.endpoints.upsert(*record, now);
    if (!isNews)
        return ClusterViewChange::None;
    return record->isDraining ? ClusterViewChange::EndpointDraining : ClusterViewChange::EndpointListed;
}

static ClusterViewChange applyDataCentre(ClusterView& belief, const StoreKey& key, const StoreChange& change)
{
    if (change.isRemoved)
        return belief.evacuatedDataCentres.erase(key.name) > 0 ? ClusterViewChange::DataCentreRestored : ClusterViewChange::None;
    return belief.evacuatedDataCentres.insert(key.name).second ? ClusterViewChange::DataCentreEvacuated : ClusterViewChange::None;
}

static ClusterViewChange applyVersion(ClusterView& belief, const StoreAdapter& dialect, const StoreKey& key, const StoreChange& change, TimePoint now, std::string& fault)
{
    if (change.isRemoved)
        return ClusterViewChange::None;
    auto version = dialect.parseWeightVersion(change.value);
    if (!version.ok())
        return noteUnreadableItem(belief, version.status(), fault);
    auto& named = belief.namedVersions[key.name];
    bool isNewer = named.empty() || *version > named.rbegin()->first;
    if (!isNewer)
        return ClusterViewChange::None;
    named[*version] = now - belief.namingTimeOffset;
    return ClusterViewChange::WeightVersion;
}

ClusterViewChange applyStoreChange(ClusterView& belief, const StoreAdapter& dialect, const StoreChange& change, TimePoint now, std::string& fault)
{
    auto key = dialect.parseKey(change.key);
    switch (key.kind) {
    case StoreKeyKind::Configuration:
        return applyConfiguration(belief, dialect, change, fault);
    case StoreKeyKind::Endpoint:
        return applyEndpoint(belief, dialect, key, change, now, fault);
    case StoreKeyKind::DataCentreEvacuation:
        return applyDataCentre(belief, key, change);
    case StoreKeyKind::WeightVersion:
        return applyVersion(belief, dialect, key, change, now, fault);
    case StoreKeyKind::Other:
        return ClusterViewChange::None;
    }
    return ClusterViewChange::None;
}

void removeUnlistedItems(ClusterView& belief, const StoreAdapter& dialect, const std::vector<StoreChange>& listing, TimePoint now)
{
    std::unordered_set<std::string> endpoints;
    std::set<std::string> dataCentresOut;
    for (const auto& item : listing) {
        auto key = dialect.parseKey(item.key);
        if (key.kind == StoreKeyKind::Endpoint)
            endpoints.insert(key.name);
        else if (key.kind == StoreKeyKind::DataCentreEvacuation)
            dataCentresOut.insert(key.name);
    }
    belief.evacuatedDataCentres = std::move(dataCentresOut);
    std::vector<std::string> absent;
    for (const auto& [id, row] : belief.endpoints.rowById) {
        if (endpoints.count(id) == 0)
            absent.push_back(id);
    }
    for (const auto& id : absent)
        removeEndpoint(belief, id, now);
}

Milliseconds ageOf(const ClusterView& belief, BootTimePoint now)
{
    if (!belief.isConfirmed)
        return Milliseconds::max();
    return std::chrono::duration_cast<Milliseconds>(now - belief.confirmedAt);
}

} // namespace bilberry
