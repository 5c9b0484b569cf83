/// The interface between this system and the platform around it: callers' requests and endpoints' answers, the platform's
/// store, and engines. A protocol adapter makes no decisions; it is a struct of functions that translate between wire
/// formats and the types of this project.
#pragma once

#include "EndpointRecord.h"
#include "EntryConfiguration.h"
#include "HttpChannel.h"
#include "HttpMessage.h"
#include "StoreChange.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <optional>
#include <string>
#include <string_view>

namespace bilberry {

/// Largest number of shared parts of a prompt that are read; later ones are ignored.
constexpr size_t maxSharedPromptParts = 16;

/// The parameters that a caller sends with its request.
struct CallerRequest {
    std::string id; ///< Identifies this attempt of the caller; empty when the caller sent no id.
    std::optional<Milliseconds> timeBudget; ///< How long the caller waits, counted from when it sent the request.
    std::string apiKey; ///< Identifies the client account; empty when the caller sent no key.
    std::optional<uint64_t> lastEventId; ///< The event after which the stream is to be resumed.
    bool hasUnreadableLastEventId = false; ///< Whether the caller named such an event in a way that can't be read.
    std::string model; ///< The requested model; empty for services without models.
    uint32_t promptTokens = 0; ///< Zero when the caller didn't state it.
    uint32_t maxAnswerTokens = 0; ///< Zero when the caller didn't state it.
    uint32_t estimatedAnswerTokens = 0; ///< The caller's estimate of the answer's length, often far off; zero when it stated none.
    /// IDs of the parts of the prompt that other requests may share, in order and each once: all but the last part, which is
    /// the request's own. At most maxSharedPromptParts.
    std::vector<uint64_t> sharedPromptParts;
};

/// The values that the system sends to the endpoint along with an attempt, which is one sending of a request.
struct EndpointRequestFields {
    Milliseconds timeLeft { 0 };
    std::string endpointId; ///< The intended endpoint; any other endpoint at that address refuses the request.
    std::string account; ///< The name of the client account; empty for anonymous requests.
    std::optional<uint64_t> lastEventId;
    std::optional<int> priority; ///< From 0, the most urgent, to 9.
    std::optional<uint32_t> weightVersion; ///< An engine with other weights refuses the request.
};

/// The load of an endpoint, as reported by the endpoint itself: the requests that run and wait, and how many can run
/// concurrently.
struct LoadReport {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
    /// The time that work takes there at this moment, as a percentage of the usual time; nothing if the endpoint doesn't state it.
    std::optional<uint32_t> workTimePercent = std::nullopt;
};

/// The metadata that an endpoint sends along with an answer.
struct EndpointReply {
    std::string requestId; ///< The id of the request that is answered; empty when the endpoint doesn't state it.
    bool isSealed = false; ///< Whether the answer carries the header that marks it as made by the endpoint itself.
    bool isNotExecuted = false; ///< Whether the endpoint states that it has not run the request.
    std::optional<LoadReport> load;
    bool isLoadUnreadable = false; ///< Whether the endpoint stated its load, or a part of it, in a form that can't be read.
    std::string endpointId; ///< The endpoint that answered; empty when the answer doesn't state it.
    bool isLeaving = false; ///< Whether the endpoint states that it leaves.
    std::optional<Milliseconds> retryAfter; ///< For how long the endpoint, which refused the request, wants none from this entry.
    bool isRetryAfterUnreadable = false; ///< Whether the endpoint stated such a time in a form that can't be read.
};

/// Translates between HTTP messages and the fields of requests and answers.
struct RequestAdapter {
    CallerRequest (*parseCallerRequest)(const HttpRequest&);
    /// Makes the headers that are sent to the endpoint from those received from the caller.
    HttpHeaders (*makeEndpointHeaders)(const HttpHeaders& received, const EndpointRequestFields&);
    EndpointReply (*parseReply)(const ResponseHead&);
    /// The path on which the load balancer asks whether an entry accepts requests.
    std::string_view readyPath;
};

/// The kind of item that a key of the store refers to.
enum class StoreKeyKind : uint8_t {
    Configuration,
    Endpoint, ///< `name` is the id of the endpoint.
    DataCentreEvacuation, ///< `name` is the data centre; no more requests may be sent to it.
    WeightVersion, ///< `name` is the model.
    Other, ///< A key that this system doesn't use.
};

struct StoreKey {
    StoreKeyKind kind = StoreKeyKind::Other;
    std::string name;
};

/// Builds request paths for the platform's store and parses its answers and values.
struct StoreAdapter {
    StoreKey (*parseKey)(std::string_view key);
    /// Build request paths. `after` is the last key of the previous page; it is empty for the first page.
    /// `mayBeStale` permits an answer from a replica of the store that lags.
    std::string (*listPath)(std::string_view prefix, std::string_view after, bool mayBeStale);
    std::string (*watchPath)(std::string_view prefix, uint64_t afterRevision, Milliseconds wait);
    std::string (*itemPath)(std::string_view key, bool mayBeStale);
    /// Returns the store's era that an answer states, which rises when the store comes back from an older copy; zero if it
    /// states none. Returns InvalidArgument if it isn't a number.
    absl::StatusOr<uint64_t> (*parseEra)(const HttpHeaders&);
    absl::StatusOr<StorePage> (*parsePage)(const std::string& body);
    absl::StatusOr<StoreChangeBatch> (*parseChanges)(const std::string& body);
    absl::StatusOr<StoreChange> (*parseItem)(const std::string& body);
    /// Parses the configuration. An unknown kind of request is treated as one that must run at most once; absent numbers are
    /// read as zero. Of a route, both are listed in EntryConfiguration::faults.
    absl::StatusOr<EntryConfiguration> (*parseRouteTable)(const std::string& value);
    absl::StatusOr<EndpointRecord> (*parseEndpoint)(const std::string& id, const std::string& value);
    absl::StatusOr<uint32_t> (*parseWeightVersion)(const std::string& value);
    /// The key of the configuration, and the prefixes of the keys of endpoints and of weight versions.
    std::string_view configurationKey;
    std::string_view endpointPrefix;
    std::string_view versionPrefix;
};

/// The state of the engine that runs on the same VM as a weights agent.
struct EngineReport {
    std::vector<LoadedModel> models;
    uint32_t loadedLayers = 0; ///< The number of layers loaded, as in EndpointRecord.
    uint32_t loadedLayersVersion = 0;
    bool isBusy = false; ///< Whether the engine is carrying out an order.
    uint64_t acceptedOrders = 0; ///< The number of orders accepted since the engine started.
    std::optional<int64_t> startedAtUnixMs; ///< The time at which the engine started, in Unix milliseconds.
};

/// The digests of the pieces of one version of a model's weights.
struct PieceManifest {
    std::string model;
    uint32_t version = 0;
    size_t pieceBytes = 0;
    std::vector<std::string> digests; ///< One SHA-256 digest in lower-case hex for each piece, in the order of the pieces.
};

/// Builds requests to engines and to the origin of weights, and parses their answers.
struct EngineAdapter {
    std::string_view reportPath;
    absl::StatusOr<EngineReport> (*parseReport)(const std::string& body);
    /// Build paths of requests to the origin of weights.
    std::string (*manifestPath)(std::string_view model, uint32_t version);
    std::string (*piecePath)(std::string_view model, uint32_t version, uint32_t piece);
    absl::StatusOr<PieceManifest> (*parseManifest)(const std::string& body);
    /// Build paths of requests to the engine on the same VM, which holds staged pieces until it is ordered to load them.
    std::string (*stageReadPath)(std::string_view model, uint32_t piece);
    std::string (*stageWritePath)(std::string_view model, uint32_t piece);
    /// Makes the order to load the staged weights once the running requests are done.
    HttpRequest (*makeLoadOrder)(std::string_view model, uint32_t version);
};

struct ProtocolAdapter {
    RequestAdapter requests;
    StoreAdapter store;
    EngineAdapter engine;
};

} // namespace bilberry
