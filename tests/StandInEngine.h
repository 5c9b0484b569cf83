/// State of the model engine stand-in, shared by its orders and its completions.
#pragma once

#include "Digest.h"
#include "StandInConcurrencyLimiter.h"
#include "StandInServer.h"
#include <map>

namespace bilberry::standin {

/// A model of an engine. While a version loads over another one, the old one serves.
struct EngineModel {
    std::string servingDigest; ///< Empty while no version serves.
    std::string servingFencingToken;
    std::string contentSha256; ///< Over all the bytes that the load read.
    std::string loadingDigest; ///< Empty while no version loads.
    std::string loadingFencingToken;
    uint64_t highestFencingToken = 0;
    uint64_t lastOrderNumber = 0; ///< A load that is no longer the last order does not come into force.
};

struct Engine {
    Controls controls;
    ConcurrencyLimiter limiter { controls, {}, {}, {}, 0, 0, {} };
    std::mutex mutex;
    std::map<std::string, EngineModel> models;
};

/// Prefix of each word that an engine answers to the prompt. Thread safe.
inline std::string promptHash(std::string_view prompt)
{
    return sha256Hex(prompt).substr(0, 8);
}

/// Adds the routes for model orders and the index. The engine must outlive the server.
void addOrderRoutes(Engine&, Server&);

/// Adds the routes for completions. The engine must outlive the server.
void addCompletionRoutes(Engine&, Server&);

} // namespace bilberry::standin
