/// The operators' configuration as an entry uses it: routes, services, client accounts and limits of one generation.
#pragma once

#include "Address.h"
#include "AsyncHttpServer.h"
#include "Types.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// Milliseconds with fractions, which the step times of engines need.
using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

/// Whether a request may run more than once.
enum class RequestKind : uint8_t {
    Idempotent, ///< The request may run any number of times.
    AtMostOnce, ///< Each request of a caller runs at most once.
    Stream, ///< The response is a stream of events. The request runs at most once unless the route's streams can be resumed.
};

/// One of the services among which a route's requests are divided.
struct ServiceShare {
    std::string service;
    double weight = 1; ///< Weight relative to those of the other shares.
};

/// How requests for one host and path prefix are handled.
struct RouteRule {
    std::string name;
    std::string host; ///< Host name in lower case.
    std::string prefix; ///< Path prefix, which begins and ends with a slash.
    std::vector<ServiceShare> services; ///< Services that share the requests; at least one.
    RequestKind kind = RequestKind::AtMostOnce;
    bool isResumable = false; ///< Whether another run may continue a stream after its last event.
    bool allowsAnonymous = false;
    Milliseconds timeout { 0 }; ///< Longest time from the request's arrival to its response; callers may state less.
    Milliseconds targetLatency { 0 }; ///< Target time to the response, or to the first event of a stream.
    Milliseconds maxEventGap { 0 }; ///< Longest pause between events of a stream that meets its target.
    int priority = 0; ///< Priority of the requests; zero is the most urgent.
    /// Largest number of endpoints that may run one request. Attempts that didn't run it have a separate limit.
    int maxRuns = 1;
    std::vector<std::string> regions; ///< Regions in which the requests may be served; empty: all.
};

/// Performance of a service's model engines.
struct EnginePerformance {
    uint32_t slots = 1; ///< Number of requests that an engine decodes at the same time.
    uint32_t tokensPerEvent = 1;
    FractionalMilliseconds stepTime { 0 }; ///< Time to decode one token for each running request.
    FractionalMilliseconds stepTimePerRequest { 0 }; ///< Additional step time for each running request.
    /// Additional step time for each thousand tokens of a request's context.
    FractionalMilliseconds stepTimePerThousandTokens { 0 };
    double prefillTokensPerSecond = 0;
    FractionalMilliseconds prefillTimePerMillionPairs { 0 };
    double typicalPromptTokens = 0;
    double typicalAnswerTokens = 0;
};

/// A model that a service's engines serve.
struct ServedModel {
    std::string name;
    uint32_t layerCount = 0; ///< Number of layers; zero: engines hold the model as a whole.
    uint32_t chunkCount = 0; ///< Number of chunks into which the weights are divided; zero: the system doesn't distribute them.
    size_t chunkBytes = 0;
    Milliseconds warmUpTime { 0 }; ///< Time in which an engine loads all layers.
};

/// Settings of one service.
struct ServiceSettings {
    std::string name;
    uint32_t maxConnections = 0; ///< Limit of the connections to one endpoint from all callers together; zero: not stated.
    double maxColdRate = 0; ///< Requests per second that a cold endpoint can take; zero: no limit.
    std::optional<EnginePerformance> engine;
    std::vector<ServedModel> models;
    std::optional<Address> origin; ///< Address from which weights are fetched. A service that has an origin runs no requests.
    std::string originDataCentre;
    /// Whether routes of different priority share the service. Requests of higher priority then go first when there isn't room for
    /// all. Set by indexEntryConfiguration().
    bool hasRankedRoutes = false;
};

struct ClientAccount {
    std::string name;
    std::vector<std::string> keys; ///< API keys in clear text.
    std::optional<int> priority; ///< Priority that overrides the route's.
    std::vector<std::string> regions; ///< Regions in which the account's requests may be served; empty: all.
};

/// One generation of the configuration. It is never changed once it is in force.
struct EntryConfiguration {
    Generation generation = 0;
    std::vector<RouteRule> routes;
    std::vector<ServiceSettings> services;
    std::vector<ClientAccount> accounts;
    ServerLimits limits; ///< Limits of the entry's HTTP server.
    std::vector<std::string> faults; ///< Settings that are missing or unknown, with the value that is used instead; for logs.
    std::unordered_map<std::string, std::vector<RowIndex>> routesByHost; ///< Rows of each host's routes, longest prefix first.
    std::unordered_map<std::string, RowIndex> accountByKey;
    std::unordered_map<std::string, RowIndex> serviceByName;
};

using EntryConfigurationPointer = std::shared_ptr<const EntryConfiguration>;

/// Builds the indexes from the rows. Precondition: routes, services and accounts are filled in and don't change afterwards.
void indexEntryConfiguration(EntryConfiguration&);
/// The route with the longest prefix that matches the target's path; null when there is none. `host` may contain a port.
/// Thread safe.
const RouteRule* findRoute(const EntryConfiguration&, std::string_view host, std::string_view target);
/// The account that holds the key; null when there is none. Thread safe.
const ClientAccount* findAccount(const EntryConfiguration&, const std::string& key);
/// The service of that name; null when there is none. Thread safe.
const ServiceSettings* findService(const EntryConfiguration&, const std::string& name);

/// Whether the request may be run more than once. Thread safe.
bool mayRepeat(const RouteRule&);

} // namespace bilberry
