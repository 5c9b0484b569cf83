/// Sends load and unload orders to the model engine of this VM and reads its state.
#pragma once

#include "Types.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace bilberry {

struct Node;

/// One model as the engine reports it.
struct EngineModel {
    std::string model;
    std::string digest;
    bool isReady = false;
    uint64_t fencingToken = 0; ///< Highest fencing token that the engine has seen for the model; 0 when it reports none.
    std::string contentSha256; ///< SHA-256 of the loaded bytes, hex; empty when the engine does not report it.
};

/// An order to load one version.
struct LoadOrder {
    std::string model;
    std::string digest;
    std::string sourceUrl; ///< URL from which the engine reads the weights.
    uint64_t fencingToken = 0;
};

/// The models that the engine reports. Error: Unavailable when the engine was not reached or its response is malformed.
/// Thread safe.
absl::StatusOr<std::vector<EngineModel>> readEngineModels(Node&, const std::string& engine);

/// Orders a load and waits until it ends. Errors: FailedPrecondition when the fencing token is older than one that the
/// engine has seen; InvalidArgument when the engine rejected the weights; Unavailable otherwise. Thread safe.
absl::Status sendLoadOrder(Node&, const std::string& engine, const LoadOrder&, Milliseconds timeout);

/// Orders the model to be unloaded. The errors are those of sendLoadOrder(). Thread safe.
absl::Status sendUnloadOrder(Node&, const std::string& engine, const std::string& model, uint64_t fencingToken);

/// Whether the engine reports that it is in a cold start. Error: Unavailable when it was not reached. Thread safe.
absl::StatusOr<bool> readEngineColdState(Node&, const std::string& engine);

} // namespace bilberry
