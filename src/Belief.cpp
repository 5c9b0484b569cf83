#include "Belief.h"

#include <unordered_set>

namespace bilberry {

// Time after an outage of the store in which entries of live endpoints that had lapsed come back.
static constexpr Milliseconds reappearanceTime { 2000 };

std::string_view toText(BeliefStep step)
{
    switch (step) {
    case BeliefStep::None:
        return "none";
    case BeliefStep::Configuration:
        return "configuration";
    case BeliefStep::EndpointListed:
        return "endpoint_listed";
    case BeliefStep::EndpointDraining:
        return "endpoint_draining";
    case BeliefStep::EndpointRemoved:
        return "endpoint_removed";
    case BeliefStep::DataCentreOut:
        return "data_centre_out";
    case BeliefStep::DataCentreBack:
        return "data_centre_back";
    case BeliefStep::WeightVersion:
        return "weight_version";
    case BeliefStep::Unreadable:
        return "unreadable";
    }
    return "none";
}

static BeliefStep noteUnreadable(Belief& belief, const absl::Status& status, std::string& fault)
{
    ++belief.unreadableItems;
    fault = std::string(status.message());
    return BeliefStep::Unreadable;
}

static BeliefStep applyConfiguration(Belief& belief, const StoreDialect& dialect, const StoreChange& change, std::string& fault)
{
    if (change.isRemoved)
        return BeliefStep::None;
    auto table = dialect.readRouteTable(change.value);
    if (!table.ok())
        return noteUnreadable(belief, table.status(), fault);
    if (belief.routes && table->generation <= belief.routes->generation)
        return BeliefStep::None;
    belief.routes = std::make_shared<const RouteTable>(*std::move(table));
    return BeliefStep::Configuration;
}

// An entry that goes while the store comes back may have lapsed only because the store was away.
static BeliefStep removeEndpoint(Belief& belief, const std::string& id, TimePoint now)
{
    if (belief.endpoints.rowById.count(id) == 0)
        return BeliefStep::None;
    belief.endpoints.remove(id, std::max(now, belief.outageEndedAt + reappearanceTime));
    return BeliefStep::EndpointRemoved;
}

static BeliefStep applyEndpoint(Belief& belief, const StoreDialect& dialect, const StoreKey& key, const StoreChange& change, TimePoint now, std::string& fault)
{
    if (change.isRemoved)
        return removeEndpoint(belief, key.name, now);
    auto record = dialect.readEndpoint(key.name, change.value);
    if (!record.ok()) {
        // The entry names no endpoint to use.
        removeEndpoint(belief, key.name, now);
        return noteUnreadable(belief, record.status(), fault);
    }
    auto found = belief.endpoints.rowById.find(key.name);
    bool isNews = found == belief.endpoints.rowById.end() || !belief.endpoints.rows[found->second].isListed || differs(belief.endpoints.rows[found->second].record, *record);
    belief.endpoints.put(*record, now);
    if (!isNews)
        return BeliefStep::None;
    return record->isDraining ? BeliefStep::EndpointDraining : BeliefStep::EndpointListed;
}

static BeliefStep applyDataCentre(Belief& belief, const StoreKey& key, const StoreChange& change)
{
    if (change.isRemoved)
        return belief.dataCentresOut.erase(key.name) > 0 ? BeliefStep::DataCentreBack : BeliefStep::None;
    return belief.dataCentresOut.insert(key.name).second ? BeliefStep::DataCentreOut : BeliefStep::None;
}

static BeliefStep applyVersion(Belief& belief, const StoreDialect& dialect, const StoreKey& key, const StoreChange& change, TimePoint now, std::string& fault)
{
    if (change.isRemoved)
        return BeliefStep::None;
    auto version = dialect.readWeightVersion(change.value);
    if (!version.ok())
        return noteUnreadable(belief, version.status(), fault);
    auto& named = belief.versions[key.name];
    bool isNewer = named.empty() || *version > named.rbegin()->first;
    if (!isNewer)
        return BeliefStep::None;
    named[*version] = now - belief.namedBefore;
    return BeliefStep::WeightVersion;
}

BeliefStep applyChange(Belief& belief, const StoreDialect& dialect, const StoreChange& change, TimePoint now, std::string& fault)
{
    auto key = dialect.readKey(change.key);
    switch (key.topic) {
    case StoreTopic::Configuration:
        return applyConfiguration(belief, dialect, change, fault);
    case StoreTopic::Endpoint:
        return applyEndpoint(belief, dialect, key, change, now, fault);
    case StoreTopic::DataCentreOut:
        return applyDataCentre(belief, key, change);
    case StoreTopic::WeightVersion:
        return applyVersion(belief, dialect, key, change, now, fault);
    case StoreTopic::Other:
        return BeliefStep::None;
    }
    return BeliefStep::None;
}

void applyAbsences(Belief& belief, const StoreDialect& dialect, const std::vector<StoreChange>& listing, TimePoint now)
{
    std::unordered_set<std::string> endpoints;
    std::set<std::string> dataCentresOut;
    for (const auto& item : listing) {
        auto key = dialect.readKey(item.key);
        if (key.topic == StoreTopic::Endpoint)
            endpoints.insert(key.name);
        else if (key.topic == StoreTopic::DataCentreOut)
            dataCentresOut.insert(key.name);
    }
    belief.dataCentresOut = std::move(dataCentresOut);
    std::vector<std::string> absent;
    for (const auto& [id, row] : belief.endpoints.rowById) {
        if (endpoints.count(id) == 0)
            absent.push_back(id);
    }
    for (const auto& id : absent)
        removeEndpoint(belief, id, now);
}

Milliseconds ageOf(const Belief& belief, BootTimePoint now)
{
    if (!belief.isConfirmed)
        return Milliseconds::max();
    return std::chrono::duration_cast<Milliseconds>(now - belief.confirmedAt);
}

} // namespace bilberry
