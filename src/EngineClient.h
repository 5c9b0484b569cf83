/// Orders to the model engine beside this process, and its read-back.
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
    uint64_t fencingToken = 0; ///< Highest order number that the engine has seen for it.
    std::string contentSha256; ///< Of the bytes it loaded, hex; empty when the engine does not say.
};

/// One order to load a version.
struct LoadOrder {
    std::string model;
    std::string digest;
    std::string sourceUrl; ///< URL from which the engine reads the weights.
    uint64_t fencingToken = 0;
};

/// What the engine has loaded. Error: it was not reached or answered nonsense. Thread safe.
absl::StatusOr<std::vector<EngineModel>> readEngineModels(Node&, const std::string& engine);

/// Orders a load and waits for it. Errors: FailedPrecondition when the order's number is old; InvalidArgument when the
/// engine refused the weights; Unavailable otherwise. Thread safe.
absl::Status sendLoadOrder(Node&, const std::string& engine, const LoadOrder&, Milliseconds timeout);

/// Orders the model's unload. Errors as for a load. Thread safe.
absl::Status sendUnloadOrder(Node&, const std::string& engine, const std::string& model, uint64_t fencing);

/// Whether the engine says that it is in cold start. Error: not reached. Thread safe.
absl::StatusOr<bool> readEngineColdState(Node&, const std::string& engine);

} // namespace bilberry
