/// Which endpoint gets a request. Pure decisions on an immutable table; Router.h keeps the table current.
#pragma once

#include "Configuration.h"
#include "FleetTable.h"
#include "LiveList.h"
#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// How near an endpoint is to the entry.
enum class Nearness : uint8_t { DataCentre = 0,
    Region = 1,
    Elsewhere = 2 };

/// One endpoint as an entry sees it; a hint that ages.
struct RoutingRow {
    RowIndex vm = noRow;
    RowIndex service = noRow;
    Nearness nearness = Nearness::Elsewhere;
    bool isReported = false; ///< Heard of within the lifetime of a report.
    bool isCold = false;
    uint32_t inProgress = 0;
    uint32_t limit = 1;
    std::vector<RowIndex> models; ///< Served, by read-back.
};

struct RoutingTable {
    ConfigurationPointer configuration;
    std::vector<RoutingRow> rows; ///< Endpoints that may get new work.
};

/// What a request needs.
struct RoutingTarget {
    RowIndex service = noRow;
    RowIndex model = noRow; ///< noRow for plain services.
};

/// Makes the table: leaves out endpoints of data centres that are out, and those that are leaving by the
/// configuration, the live list or their own report. Thread safe.
RoutingTable makeRoutingTable(ConfigurationPointer, const LiveList*, const std::vector<FleetRow>&, RowIndex ownDataCentre, TimePoint now);

/// Chooses between two random candidates of the nearest group that has room, by load. `ownInProgress` is indexed by VM
/// and counts this entry's own requests, which reports lag behind; `excluded` are VMs that were tried. Returns a VM's row or noRow. Thread safe.
RowIndex chooseEndpoint(const RoutingTable&, RoutingTarget, const std::vector<uint32_t>& ownInProgress, const std::vector<RowIndex>& excluded, uint64_t random);

} // namespace bilberry
