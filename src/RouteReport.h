/// Where an entry would send a request now, and why: the answer to an operator's question, which sends nothing.
#pragma once

#include "Types.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// Path of the question at an entry's metrics address.
constexpr std::string_view routeQuestionPath = "/route";

/// The request that is asked about.
struct RouteQuestion {
    std::string host;
    std::string path;
    std::string account; ///< Name of the client account; empty for an anonymous request. Keys aren't accepted.
    std::string model; ///< Empty for a plain service.
    uint32_t promptTokens = 0;
    std::vector<uint64_t> sharedPromptParts;
};

/// An endpoint of the service.
struct RouteCandidate {
    std::string endpoint;
    std::string dataCentre;
    double load = 0; ///< Estimated requests there.
    double limit = 0; ///< Requests that it may have at a time.
    Milliseconds loadAge { 0 }; ///< Time since it last stated its load; Milliseconds::max() if it never did.
    std::string exclusion; ///< Why it can't run the request now, toText(Exclusion) or "full"; "none" if it can.
};

struct RouteReport {
    std::string outcome; ///< "sent", "waits" or "refused".
    std::string reason; ///< Of a refusal, as in the log and in metrics; otherwise empty.
    int status = 0; ///< HTTP status of a refusal; zero otherwise.
    Milliseconds retryAfter { 0 }; ///< Of a refusal, without jitter.
    std::string route;
    std::string service;
    int accountPriority = 0;
    int routePriority = 0;
    bool isStarved = false; ///< Whether the route's priority has too few dispatches, so that the request goes before others.
    Milliseconds expectedWait { 0 }; ///< Until it is sent; Milliseconds::max() if it isn't known.
    Milliseconds allowedWait { 0 }; ///< Longest wait with which it is still on time.
    Milliseconds expectedFirstEvent { 0 }; ///< From its sending, at an engine of which all other slots are in use; zero for a plain service.
    size_t waitingAhead = 0; ///< Requests that wait and would be sent before it.
    std::string chosen; ///< Endpoint that one draw chooses; empty if there is none.
    uint64_t generation = 0; ///< Generation of the configuration.
    Milliseconds viewAge { 0 }; ///< Age of what the entry knows of the cluster.
    std::vector<RouteCandidate> candidates;
};

/// Writes the question as the target of a GET request. Thread safe.
std::string toTarget(const RouteQuestion&);
/// Reads the target of a request. Returns InvalidArgument with the field that is missing, unknown or malformed. Thread safe.
absl::StatusOr<RouteQuestion> parseRouteQuestion(std::string_view target);
/// Reads the parts of a prompt, as comma-separated hexadecimal IDs. Returns InvalidArgument for other text. Thread safe.
absl::StatusOr<std::vector<uint64_t>> parsePromptParts(std::string_view text);

nlohmann::json toJson(const RouteReport&);
/// Returns InvalidArgument for JSON that isn't a report. Thread safe.
absl::StatusOr<RouteReport> parseRouteReport(const std::string& text);
/// The report as text for operators. Thread safe.
std::string formatRouteReport(const RouteReport&);

} // namespace bilberry
