/// One endpoint as discovery lists it.
#pragma once

#include "Address.h"
#include "Types.h"

#include <string>
#include <vector>

namespace bilberry {

/// A model that an endpoint has in memory.
struct LoadedModel {
    std::string name;
    uint32_t version = 0;
};

struct EndpointRecord {
    std::string id; ///< New with most starts of the endpoint.
    Address address;
    std::string service;
    std::string dataCentre;
    uint32_t slots = 1; ///< Requests that it runs at once.
    bool isDraining = false;
    Milliseconds remainingColdTime { 0 }; ///< From the time of the record.
    bool isModelEngine = false; ///< Whether it is a model engine.
    std::vector<LoadedModel> models;
    uint32_t loadedLayers = 0; ///< Held of the model, from the first one on without a gap.
    uint32_t loadedLayersVersion = 0; ///< Of these layers; zero: none.
    uint32_t notifiedVersion = 0; ///< That the agent beside the engine has told of; zero: none.
};

/// Whether two records of one endpoint differ in more than how long it stays cold. Thread safe.
bool differs(const EndpointRecord&, const EndpointRecord&);

/// Version of the weights that the engine can run as a whole; zero: none. `layers` is the number that the model has, zero
/// when it isn't divided. Thread safe.
uint32_t servedVersion(const EndpointRecord&, const std::string& model, uint32_t layers);

} // namespace bilberry
