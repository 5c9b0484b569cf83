/// Explains why a model is or is not placed on a VM, and why an endpoint would or would not take a request now. Pure functions
/// over plain tables.
#pragma once

#include "Configuration.h"
#include "FleetTable.h"
#include "LiveList.h"
#include "Routing.h"

#include <string>
#include <vector>

namespace bilberry {

/// Whether a model is placed on the VM in question, and why.
struct PlacementVerdict {
    RowIndex model = noRow;
    bool isPlaced = false;
    std::string reason;
};

/// The first reason that keeps an endpoint from taking a request now, in the order in which they are checked.
enum class EndpointState : uint8_t {
    Available,
    DataCentreOut, ///< The rules take its data centre out of service.
    Leaving, ///< The rules, the live list or its own report say that the VM leaves the fleet.
    NoRecentReport, ///< There is no report of it, or only an expired one.
    VersionNotReady, ///< Its engine doesn't serve the model.
    AtLimit, ///< It runs as many requests as its admission limit allows.
};

/// Whether one endpoint would take the request, with details for the operator.
struct EndpointVerdict {
    RowIndex vm = noRow;
    EndpointState state = EndpointState::Available;
    std::string detail;
};

/// The name of the state in refusals, such as "version-not-ready". Thread safe.
std::string_view toText(EndpointState);

/// Gives one verdict for each model of the inventory on the given day. Without a live list every VM counts as live.
/// Precondition: `vm` is a row of the inventory. Thread safe.
std::vector<PlacementVerdict> explainVm(const Configuration&, const LiveList*, RowIndex vm, WallTime day);

/// Gives one verdict for each endpoint of the target's service, based on the reports that one process has. Thread safe.
std::vector<EndpointVerdict> explainRequest(const Configuration&, const LiveList*, const std::vector<FleetRow>&, RoutingTarget, TimePoint now);

} // namespace bilberry
