/// Why a VM carries a model or not, and why a request would be refused now. Pure functions over plain tables.
#pragma once

#include "Configuration.h"
#include "FleetTable.h"
#include "LiveList.h"
#include "Routing.h"

#include <string>
#include <vector>

namespace bilberry {

/// One model and a VM that carries it or does not.
struct PlacementVerdict {
    RowIndex model = noRow;
    bool isPlaced = false;
    std::string reason;
};

/// What keeps an endpoint from taking a request now, the first that holds.
enum class EndpointState : uint8_t {
    Available,
    DataCentreOut,
    Leaving,
    NoRecentReport,
    VersionNotReady,
    AtLimit,
};

struct EndpointVerdict {
    RowIndex vm = noRow;
    EndpointState state = EndpointState::Available;
    std::string detail;
};

/// Name as in refusals, such as "version-not-ready". Thread safe.
std::string_view toText(EndpointState);

/// One verdict for each model. Precondition: the VM is a row of the inventory. Thread safe.
std::vector<PlacementVerdict> explainVm(const Configuration&, const LiveList*, RowIndex vm, WallTime day);

/// One verdict for each endpoint of the target's service, by what one process has heard. Thread safe.
std::vector<EndpointVerdict> explainRequest(const Configuration&, const LiveList*, const std::vector<FleetRow>&, RoutingTarget, TimePoint now);

} // namespace bilberry
