/// What a VM's process reports of itself; it is the owner of each of these facts.
#pragma once

#include "Types.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// A model that the back end serves, confirmed by its own read-back.
struct ServedModel {
    std::string model;
    std::string digest; ///< Of the version's manifest.
};

/// The chunks of one version that the process holds and passes on.
struct ChunkHolding {
    std::string digest; ///< Of the version's manifest.
    std::vector<bool> chunks; ///< By position in the manifest.
};

struct VmStatus {
    std::string vm;
    uint64_t incarnation = 0; ///< Start of the process in Unix milliseconds; a restart has a higher one.
    uint64_t sequence = 0; ///< Grows with each change of the report.
    Generation generation = 0; ///< Of the configuration in force there.
    bool isLeaving = false;
    bool isCold = false;
    bool isConfigurationServiceUnreachable = false; ///< Its reads of the configuration service fail, so that another should watch.
    uint32_t requestsInProgress = 0; ///< Requests running at the back end.
    uint32_t admissionLimit = 0; ///< Admission limit in force.
    std::vector<ServedModel> servedModels;
    std::vector<ChunkHolding> holdings;
};

nlohmann::json toJson(const VmStatus&);

/// Nothing when the object is malformed or larger than a report may be. Thread safe.
std::optional<VmStatus> parseVmStatus(const nlohmann::json&);

} // namespace bilberry
