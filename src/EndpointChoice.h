/// Which endpoint gets a request. Answers loads at which most endpoints are full: requests go where a place is free, the own
/// data centre first, and wait at the entry when there is none. Pure decisions.
#pragma once

#include "EndpointTable.h"
#include "Types.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bilberry {

/// Where an entry stands.
struct NodeLocation {
    std::string dataCentre;
    std::map<std::string, std::string> regionByDataCentre; ///< By data centre.
};

/// What a request needs of an endpoint.
struct EndpointRequirements {
    std::string service;
    std::string model; ///< Empty for plain services.
    uint32_t modelLayers = 0;
    uint32_t minWeightVersion = 0; ///< Of the weights on which it may begin; zero: any.
    const std::vector<std::string>* routeRegions = nullptr; ///< Null or empty: anywhere.
    const std::vector<std::string>* accountRegions = nullptr;
    std::vector<std::string> triedEndpointIds; ///< Ids of endpoints that had the request before.
    uint32_t entryCount = 1; ///< That share the endpoints, this one included.
    uint64_t entryHash = 0; ///< Differs between entries: picks those that may use a new engine when they are more than its places.
    double maxColdRate = 0; ///< Requests per second that a cold endpoint may get from this entry.
};

constexpr uint32_t noEndpoint = UINT32_MAX;

struct EndpointChoice {
    uint32_t row = noEndpoint; ///< One with a free place.
    bool hasEligible = false; ///< Whether any endpoint could run the request, with or without a free place.
    uint32_t availableCount = 0; ///< Endpoints with a free place.
};

/// Requests that an endpoint is given at a time. Thread safe.
double concurrencyLimit(const EndpointRecord&);

/// Whether the endpoint could run the request if it had a free place. Thread safe.
bool isEligible(const EndpointRow&, const EndpointRequirements&, const NodeLocation&, const std::set<std::string>& dataCentresOut, TimePoint now);

/// Chooses the less loaded of two endpoints with a free place, taken at random from those of each distance; nearer ones are
/// preferred while their load isn't much higher. Loads are known late: if all entries took the least loaded one, they would
/// flood it. `random` is uniform. Thread safe.
EndpointChoice chooseEndpoint(const EndpointTable&, const EndpointRequirements&, const NodeLocation&, const std::set<std::string>& dataCentresOut, uint64_t random, TimePoint now);

} // namespace bilberry
