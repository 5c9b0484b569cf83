/// The record of one endpoint in the service discovery of the platform's store.
#pragma once

#include "Address.h"
#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// A model that an endpoint has loaded into memory.
struct LoadedModel {
    std::string name;
    uint32_t version = 0;
};

struct EndpointRecord {
    std::string id; ///< Identifies one run of the endpoint; most restarts change it.
    Address address;
    std::string service;
    std::string dataCentre;
    uint32_t slots = 1; ///< The number of requests that it runs concurrently.
    bool isDraining = false;
    WallTime startedAt {}; ///< When the run started; the default value if the record doesn't state it.
    Milliseconds remainingColdTime { 0 }; ///< How long the endpoint stays cold, counted from when the record was read.
    bool isModelEngine = false; ///< Whether the endpoint runs a model engine.
    std::vector<LoadedModel> models;
    uint32_t loadedLayers = 0; ///< The number of layers of the model that are loaded, contiguously from the first one on.
    uint32_t loadedLayersVersion = 0; ///< The version of the loaded layers; zero if there are none.
    uint32_t notifiedVersion = 0; ///< The version that the agent on the same VM has announced by a notice; zero if none.
};

/// Returns whether two records of one endpoint differ in more than `remainingColdTime`, `isModelEngine` and
/// `notifiedVersion`. Thread safe.
bool differs(const EndpointRecord&, const EndpointRecord&);

/// Returns the version that a notice has announced or, if there is none, the version of the weights that the engine has
/// loaded completely; zero if there is neither. `layers` is the number of layers of the model, zero when it isn't divided
/// into layers. Thread safe.
uint32_t servedVersion(const EndpointRecord&, const std::string& model, uint32_t layers);

} // namespace bilberry
