/// Decides which VM holds the weights of which models. The decision keeps the wanted replicas available when a data centre is
/// lost, and provides the replicas for an expected burst of load ahead of it. It is a pure function of configuration, live list
/// and day, so all processes with the same input make the same decision.
#pragma once

#include "Configuration.h"
#include "LiveList.h"
#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// The assignment of one model to one VM.
struct PlacementRow {
    RowIndex model = noRow;
    RowIndex vm = noRow;
    std::string reason; ///< Why the VM holds the model, as text for operators.
};

/// A model that gets fewer replicas than wanted.
struct PlacementShortfall {
    RowIndex model = noRow;
    uint32_t wanted = 0; ///< Replicas that the rules require, counted as in ReplicaTarget.
    uint32_t placed = 0; ///< Replicas that are placed, counted like `wanted`.
    std::string reason;
};

struct Placement {
    std::vector<PlacementRow> rows; ///< The rows in the order of the models, then of the data centres, the best VM first.
    std::vector<PlacementShortfall> shortfalls;
};

/// The number of replicas that the rules require of a model. They must remain after the loss of any one data centre, unless
/// the model's placement rule doesn't ask for that; then it is the number in all data centres together.
struct ReplicaTarget {
    uint32_t replicas = 0;
    std::string reason; ///< The rule that requires the most replicas, as text for operators.
};

/// Returns the number of replicas that the rules require of a model at `now`. A burst rule applies from the beginning of its
/// lead time to the end of its last day, extended at both ends by the tolerance of its calendar. Thread safe.
ReplicaTarget findReplicaTarget(const Configuration&, RowIndex model, WallTime now);

/// Returns only the number of replicas of findReplicaTarget(). Thread safe.
uint32_t wantedReplicas(const Configuration&, RowIndex model, WallTime now);

/// Places every model. VMs in data centres that operators have taken out of service (see isDataCentreOutOfService()) keep
/// their models, so that they can serve as soon as the data centre is back in service. VMs that the live list doesn't report
/// as live get no model; a null list means that all VMs are live. Thread safe.
Placement placeModels(const Configuration&, const LiveList*, WallTime now);

/// Returns the models that are placed on a VM. Thread safe.
std::vector<RowIndex> modelsOnVm(const Placement&, RowIndex vm);

} // namespace bilberry
