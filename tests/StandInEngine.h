/// State of the model engine stand-in. The handlers of orders and of completions share it.
#pragma once

#include "Digest.h"
#include "StandInConcurrencyLimiter.h"
#include "StandInServer.h"
#include <map>

namespace bilberry::standin {

/// The state of one model in an engine. While a new version loads, the previous version continues to serve.
struct EngineModel {
    std::string servingDigest; ///< The digest of the version that serves; empty if there is none.
    std::string servingFencingToken;
    std::string contentSha256; ///< The SHA-256 of all bytes that the load read.
    std::string loadingDigest; ///< The digest of the version that is being loaded; empty if there is none.
    std::string loadingFencingToken;
    uint64_t highestFencingToken = 0;
    /// The number of the last order. The result of a load is discarded if a later order has arrived.
    uint64_t lastOrderNumber = 0;
};

struct Engine {
    Controls controls;
    ConcurrencyLimiter limiter { controls, {}, {}, {}, 0, 0, {} };
    std::mutex mutex;
    std::map<std::string, EngineModel> models;
};

/// Returns the prefix of each token in an engine's answer to the prompt. Thread safe.
inline std::string promptHash(std::string_view prompt)
{
    return sha256Hex(prompt).substr(0, 8);
}

/// Adds the routes for load and unload orders, the index of models and the readiness check. The engine must outlive the
/// server.
void addOrderRoutes(Engine&, Server&);

/// Adds the routes for completions. The engine must outlive the server.
void addCompletionRoutes(Engine&, Server&);

} // namespace bilberry::standin
