/// The status report of a VM's process. Only this process originates it; others pass it on unchanged.
#pragma once

#include "Types.h"

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// A version of a model that the engine reports to serve.
struct ServedVersion {
    std::string model;
    std::string digest; ///< The digest of the version's manifest.
};

/// The chunks of one version that the process holds and serves to peers.
struct ChunkHolding {
    std::string digest; ///< The digest of the version's manifest.
    std::vector<bool> chunks; ///< Whether each chunk is held, in the order of the manifest.
};

/// One status report.
struct VmStatus {
    std::string vm;
    uint64_t incarnation = 0; ///< The start of the process in Unix milliseconds, so that it is higher after a restart.
    uint64_t sequence = 0; ///< Increases with each change of the report within one incarnation.
    Generation generation = 0; ///< The generation of the configuration in force at the process.
    bool isLeaving = false; ///< The process drains its requests and takes no new ones.
    bool isCold = false;
    bool isConfigurationServiceUnreachable = false; ///< Its reads of the configuration service fail, so that another process should watch the service.
    uint32_t requestsInProgress = 0; ///< Requests running at the back end.
    uint32_t admissionLimit = 0; ///< The limit of concurrent requests now in force.
    std::vector<ServedVersion> servedModels;
    std::vector<ChunkHolding> holdings;
};

/// Converts the report to the JSON form in which processes exchange it.
nlohmann::json toJson(const VmStatus&);

/// Parses a report. Returns nothing when the object is malformed or exceeds the bounds of a report. Thread safe.
std::optional<VmStatus> parseVmStatus(const nlohmann::json&);

} // namespace bilberry
