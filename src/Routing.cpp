#include "Routing.h"

#include <algorithm>
#include <array>
#include <unordered_map>

namespace bilberry {

// Data centre, region, elsewhere.
static constexpr size_t nearnessCount = 3;

static Nearness nearnessOf(const Inventory& inventory, RowIndex ownDataCentre, RowIndex other)
{
    if (other == ownDataCentre)
        return Nearness::DataCentre;
    bool isRegional = ownDataCentre != noRow && inSameRegion(inventory, ownDataCentre, other);
    return isRegional ? Nearness::Region : Nearness::Elsewhere;
}

static bool mayGetWork(const Configuration& configuration, const LiveList* live, RowIndex vm)
{
    const Vm& row = configuration.inventory.vms[vm];
    if (row.role != Role::Endpoint || isDataCentreOut(configuration, row.dataCentre) || isVmLeaving(configuration, vm))
        return false;
    if (!live)
        return true;
    auto found = live->vms.find(row.name);
    return found == live->vms.end() || found->second == LiveState::Live;
}

static void fillFromReport(RoutingRow& row, const VmStatus& status, const Inventory& inventory)
{
    row.isReported = true;
    row.isCold = status.isCold;
    row.inProgress = status.inProgress;
    row.limit = std::max(1U, status.limit);
    for (const auto& served : status.served) {
        RowIndex model = findRow(inventory.models, served.model);
        if (model != noRow)
            row.models.push_back(model);
    }
}

RoutingTable makeRoutingTable(ConfigurationPointer configuration, const LiveList* live, const std::vector<FleetRow>& reports, RowIndex ownDataCentre, TimePoint now)
{
    RoutingTable table;
    std::unordered_map<std::string_view, const FleetRow*> byName;
    for (const auto& report : reports)
        byName[report.status.vm] = &report;
    const Inventory& inventory = configuration->inventory;
    for (RowIndex vm = 0; vm < inventory.vms.size(); ++vm) {
        if (!mayGetWork(*configuration, live, vm))
            continue;
        RoutingRow row;
        row.vm = vm;
        row.service = inventory.vms[vm].service;
        row.nearness = nearnessOf(inventory, ownDataCentre, inventory.vms[vm].dataCentre);
        auto found = byName.find(inventory.vms[vm].name);
        if (found != byName.end() && found->second->status.isLeaving)
            continue;
        if (found != byName.end() && now - found->second->reportedAt <= reportLifetime)
            fillFromReport(row, found->second->status, inventory);
        table.rows.push_back(std::move(row));
    }
    table.configuration = std::move(configuration);
    return table;
}

static bool canServe(const RoutingRow& row, RoutingTarget target)
{
    if (row.service != target.service || !row.isReported)
        return false;
    return target.model == noRow || std::find(row.models.begin(), row.models.end(), target.model) != row.models.end();
}

static bool contains(const std::vector<RowIndex>& rows, RowIndex row)
{
    return std::find(rows.begin(), rows.end(), row) != rows.end();
}

// Requests per unit of limit; the entry's own count may be ahead of the report.
static double loadOf(const RoutingRow& row, const std::vector<uint32_t>& ownInProgress)
{
    uint32_t own = row.vm < ownInProgress.size() ? ownInProgress[row.vm] : 0;
    return static_cast<double>(std::max(row.inProgress, own)) / row.limit;
}

// Chooses the less loaded of two random candidates. Precondition: there is one.
static const RoutingRow* chooseOfTwo(const std::vector<const RoutingRow*>& candidates, const std::vector<uint32_t>& ownInProgress, uint64_t random)
{
    const RoutingRow* first = candidates[(random & UINT32_MAX) % candidates.size()];
    const RoutingRow* second = candidates[(random >> 32) % candidates.size()];
    return loadOf(*second, ownInProgress) < loadOf(*first, ownInProgress) ? second : first;
}

RowIndex chooseEndpoint(const RoutingTable& table, RoutingTarget target, const std::vector<uint32_t>& ownInProgress, const std::vector<RowIndex>& excluded, uint64_t random)
{
    // Step 1. Group the endpoints that can serve by nearness, those with room apart.
    std::array<std::vector<const RoutingRow*>, nearnessCount> withRoom;
    std::array<std::vector<const RoutingRow*>, nearnessCount> full;
    for (const auto& row : table.rows) {
        if (!canServe(row, target) || contains(excluded, row.vm))
            continue;
        bool hasRoom = loadOf(row, ownInProgress) < 1;
        (hasRoom ? withRoom : full)[static_cast<size_t>(row.nearness)].push_back(&row);
    }
    // Step 2. The nearest group with room decides; without any, the nearest full one, whose reports may be behind.
    for (const auto* groups : { &withRoom, &full }) {
        for (const auto& group : *groups) {
            if (!group.empty())
                return chooseOfTwo(group, ownInProgress, random)->vm;
        }
    }
    return noRow;
}

} // namespace bilberry
