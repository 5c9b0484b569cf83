/// What operators have configured, as an entry uses it: routes, services, client accounts and limits of one generation.
#pragma once

#include "Address.h"
#include "LoopServer.h"
#include "Types.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// Milliseconds with fractions, for the step times of engines.
using FractionalMilliseconds = std::chrono::duration<double, std::milli>;

/// What may be repeated.
enum class RequestKind : uint8_t {
    Idempotent, ///< May run any number of times.
    AtMostOnce, ///< Runs at most once for each request of a caller.
    Stream, ///< Answered by events; at most once unless the route's streams can be resumed.
};

/// One of the services that a route's requests are divided among.
struct ServiceShare {
    std::string service;
    double weight = 1; ///< Relative to those of the other shares.
};

struct RouteRule {
    std::string name;
    std::string host; ///< In lower case.
    std::string prefix; ///< Begins and ends with a slash.
    std::vector<ServiceShare> services; ///< At least one.
    RequestKind kind = RequestKind::AtMostOnce;
    bool isResumable = false; ///< Whether another run may continue a stream after the last event.
    bool allowsAnonymous = false;
    Milliseconds timeout { 0 };
    Milliseconds targetLatency { 0 }; ///< To the answer, or to the first event of a stream.
    Milliseconds maxEventGap { 0 }; ///< Longest pause between events of a stream that is on time.
    int priority = 0; ///< Zero is the most urgent.
    int maxAttempts = 1; ///< Endpoints that may run one request.
    std::vector<std::string> regions; ///< Where its requests may be served; empty: anywhere.
};

/// How fast a service's model engines work.
struct EngineTiming {
    uint32_t slots = 1; ///< Requests that write at once.
    uint32_t tokensPerEvent = 1;
    FractionalMilliseconds stepTime { 0 }; ///< One token for each request that writes.
    FractionalMilliseconds stepTimePerRequest { 0 };
    FractionalMilliseconds stepTimePerThousandTokens { 0 }; ///< Of context, for each request.
    double prefillTokensPerSecond = 0;
    FractionalMilliseconds prefillTimePerMillionPairs { 0 };
    double typicalPromptTokens = 0;
    double typicalAnswerTokens = 0;
};

/// The model of a service's engines.
struct ServedModel {
    std::string name;
    uint32_t layerCount = 0; ///< Zero: engines hold it as a whole.
    uint32_t chunkCount = 0; ///< Pieces that its weights are divided into; zero: not spread by the system.
    size_t chunkBytes = 0;
    Milliseconds warmUpTime { 0 }; ///< Time in which an engine takes in all layers.
};

struct ServiceRule {
    std::string name;
    uint32_t maxConnections = 0; ///< To one endpoint, from all callers together; zero: not stated.
    double maxColdRate = 0; ///< Requests per second that a cold endpoint bears; zero: no bound.
    std::optional<EngineTiming> engine;
    std::vector<ServedModel> models;
    std::optional<Address> origin; ///< Where weights come from; such a service runs no requests.
    std::string originDataCentre;
};

struct ClientAccount {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Goes before the route's.
    std::vector<std::string> regions; ///< Empty: anywhere.
};

/// One generation. Never changed once it is in force.
struct RouteTable {
    Generation generation = 0;
    std::vector<RouteRule> routes;
    std::vector<ServiceRule> services;
    std::vector<ClientAccount> accounts;
    ServerLimits limits;
    std::unordered_map<std::string, std::vector<RowIndex>> routesByHost; ///< Longest prefix first.
    std::unordered_map<std::string, RowIndex> accountByKey;
    std::unordered_map<std::string, RowIndex> serviceByName;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/// Fills the indexes from the rows. Precondition: rows are complete.
void indexRouteTable(RouteTable&);
/// The route with the longest prefix that begins the path; null when there is none. `host` may bear a port. Thread safe.
const RouteRule* findRoute(const RouteTable&, std::string_view host, std::string_view target);
/// The account that holds the key; null when there is none. Thread safe.
const ClientAccount* findAccount(const RouteTable&, const std::string& key);
/// The service of that name; null when there is none. Thread safe.
const ServiceRule* findService(const RouteTable&, const std::string& name);

/// Whether the request may be run more than once. Thread safe.
bool mayRepeat(const RouteRule&);

} // namespace bilberry
