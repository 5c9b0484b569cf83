/// Which VM carries which models: one pure function of configuration, live list and day.
#pragma once

#include "Configuration.h"
#include "LiveList.h"
#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// One model on one VM.
struct PlacementRow {
    RowIndex model = noRow;
    RowIndex vm = noRow;
    std::string reason; ///< Why the VM carries it, for operators.
};

/// A wish that can't be met.
struct PlacementShortfall {
    RowIndex model = noRow;
    uint32_t wanted = 0; ///< Replicas wanted in all.
    uint32_t placed = 0;
    std::string reason;
};

struct Placement {
    std::vector<PlacementRow> rows; ///< By model, then in order of choice.
    std::vector<PlacementShortfall> shortfalls;
};

/// How many replicas the rules want of a model.
struct ReplicaTarget {
    uint32_t replicas = 0; ///< To remain when a data centre is lost, where the rule says so.
    std::string reason; ///< The rule that asks for the most.
};

/// What the rules want of a model at a time, bursts within their lead time included. Thread safe.
ReplicaTarget findReplicaTarget(const Configuration&, RowIndex model, WallTime now);

/// Only the number of it. Thread safe.
uint32_t wantedReplicas(const Configuration&, RowIndex model, WallTime now);

/// Places every model. Data centres that are out keep their weights, so that they return at once; VMs that the live
/// list does not have get none, unless there is no list. Thread safe.
Placement placeModels(const Configuration&, const LiveList*, WallTime now);

/// The models that a VM carries. Thread safe.
std::vector<RowIndex> modelsOnVm(const Placement&, RowIndex vm);

} // namespace bilberry
