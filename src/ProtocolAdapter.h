/// The seam to the outside: how requests, answers, the store and engines are spoken with. A dialect decides nothing; it is
/// a struct of functions that translate between wire formats and the product's own types.
#pragma once

#include "EndpointRecord.h"
#include "HttpChannel.h"
#include "HttpMessage.h"
#include "RouteTable.h"
#include "StoreChange.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

/// What a caller says of its request.
struct CallerRequest {
    std::string id; ///< Of this attempt of the caller; empty when it gave none.
    std::optional<Milliseconds> timeBudget; ///< How long the caller waits from its sending on.
    std::string apiKey; ///< Of its client account; empty when it gave none.
    std::optional<uint64_t> lastEventId; ///< The stream is to go on after that event.
    std::string model; ///< Empty for plain services.
    uint32_t promptTokens = 0;
    uint32_t maxAnswerTokens = 0;
};

/// What the system says to the endpoint that is to run a request.
struct AttemptFields {
    Milliseconds timeLeft { 0 };
    std::string endpointId; ///< Any other endpoint at that address refuses the request.
    std::string account; ///< Name of the client account; empty for anonymous requests.
    std::optional<uint64_t> lastEventId;
    std::optional<int> priority; ///< 0, the most urgent, to 9.
};

/// Requests that an endpoint has, as it says itself.
struct LoadReport {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
};

/// What an endpoint says beside the answer itself.
struct EndpointReply {
    std::string requestId; ///< The request that it answers; empty when it isn't said.
    bool isSealed = false; ///< Whether the answer bears the mark of an endpoint's own answer.
    bool isNotExecuted = false; ///< Whether the endpoint says that it has not run the request.
    std::optional<LoadReport> load;
    std::string endpointId; ///< Of the endpoint that answered; empty when it isn't said.
};

struct RequestAdapter {
    CallerRequest (*parseCallerRequest)(const HttpRequest&);
    /// The headers that go to the endpoint.
    HttpHeaders (*makeEndpointHeaders)(const HttpHeaders& received, const AttemptFields&);
    EndpointReply (*parseReply)(const ResponseHead&);
    /// Path on which the balancer asks whether an entry takes requests.
    std::string_view readyPath;
};

/// What a key of the store is about.
enum class StoreKeyKind : uint8_t {
    Configuration,
    Endpoint, ///< `name` is its id.
    DataCentreEvacuation, ///< `name` is the data centre, to which nothing more may be sent.
    WeightVersion, ///< `name` is the model.
    Other,
};

struct StoreKey {
    StoreKeyKind kind = StoreKeyKind::Other;
    std::string name;
};

struct StoreAdapter {
    StoreKey (*parseKey)(std::string_view key);
    /// Request paths. `after` is the last key of the page before, empty for the first one.
    std::string (*listPath)(std::string_view prefix, std::string_view after, bool mayBeStale);
    std::string (*watchPath)(std::string_view prefix, uint64_t afterRevision, Milliseconds wait);
    std::string (*itemPath)(std::string_view key, bool mayBeStale);
    absl::StatusOr<StorePage> (*parsePage)(const std::string& body);
    absl::StatusOr<StoreChangeBatch> (*parseChanges)(const std::string& body);
    absl::StatusOr<StoreChange> (*parseItem)(const std::string& body);
    /// A kind of request that isn't known counts as one that runs at most once; numbers that are absent are zero.
    absl::StatusOr<RouteTable> (*parseRouteTable)(const std::string& value);
    absl::StatusOr<EndpointRecord> (*parseEndpoint)(const std::string& id, const std::string& value);
    absl::StatusOr<uint32_t> (*parseWeightVersion)(const std::string& value);
    /// Key of the configuration, and prefixes of the keys of endpoints and of weight versions.
    std::string_view configurationKey;
    std::string_view endpointPrefix;
    std::string_view versionPrefix;
};

/// State of the engine beside a weights agent.
struct EngineReport {
    std::vector<LoadedModel> models;
    uint32_t loadedLayers = 0; ///< As in EndpointRecord.
    uint32_t loadedLayersVersion = 0;
    bool isBusy = false; ///< Whether an order is being carried out.
    uint64_t acceptedOrders = 0; ///< Accepted since the engine started.
    std::optional<int64_t> startedAtUnixMs; ///< Of the engine, in Unix milliseconds.
};

/// Digests of the pieces of one version of a model's weights.
struct PieceDigests {
    std::string model;
    uint32_t version = 0;
    size_t pieceBytes = 0;
    std::vector<std::string> digests; ///< SHA-256, lower-case hex, by piece.
};

struct EngineAdapter {
    std::string_view reportPath;
    absl::StatusOr<EngineReport> (*parseReport)(const std::string& body);
    /// Requests to the origin of weights.
    std::string (*manifestPath)(std::string_view model, uint32_t version);
    std::string (*piecePath)(std::string_view model, uint32_t version, uint32_t piece);
    absl::StatusOr<PieceDigests> (*parseManifest)(const std::string& body);
    /// Requests to the engine on the own VM.
    std::string (*stageReadPath)(std::string_view model, uint32_t piece);
    std::string (*stageWritePath)(std::string_view model, uint32_t piece);
    /// The order to load what is staged, once the running work is done.
    HttpRequest (*makeLoadOrder)(std::string_view model, uint32_t version);
};

struct ProtocolAdapter {
    RequestAdapter requests;
    StoreAdapter store;
    EngineAdapter engine;
};

} // namespace bilberry
