/// Reads the state and the burn rate of entries and agents from their metrics, for operators.
#pragma once

#include "MetricsText.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace bilberry {

/// Counts of finished requests. The key is the outcome and, where there is one, the reason, such as "answered" or
/// "refused/overloaded".
using RequestCounts = std::map<std::string, double>;

/// The metrics of one process that operators look at.
struct NodeMetrics {
    std::string source; ///< The address or file that the metrics were read from.
    bool isAgent = false;
    double viewAgeSeconds = 0; ///< The age of an entry's cluster view.
    double requestsInProgress = 0; ///< Set for an entry.
    RequestCounts requests; ///< Set for an entry; counts since its start.
    double weightsVersion = 0; ///< The version that an agent's engine has loaded; zero without one.
    double wantedVersion = 0; ///< The version that an agent is told to load.
    double piecesMissing = 0; ///< The pieces of the wanted version that an agent hasn't fetched yet.
    double logLinesDropped = 0;
    double cpuSeconds = 0;
    double memoryBytes = 0;
};

/// Extracts the metrics of one process from a metrics page; those that the page doesn't have stay zero. Thread safe.
NodeMetrics extractNodeMetrics(const std::string& source, const std::vector<MetricSample>&);
/// Formats one line of text for a person, with a newline at its end. Thread safe.
std::string formatNodeMetrics(const NodeMetrics&);
/// Converts the metrics to JSON for a program. Thread safe.
nlohmann::json toJson(const NodeMetrics&);

/// Counts the requests that finished between two readings, summed over all processes. A process that restarted in between counts
/// from its start. Thread safe.
RequestCounts requestsBetween(const std::vector<NodeMetrics>& before, const std::vector<NodeMetrics>& now);

/// How fast the requests of a window use up the error budget.
struct NodeBurn {
    double good = 0; ///< Answered requests.
    double bad = 0; ///< Requests refused or cut off for a reason that lies with the system.
    RequestCounts badByCause; ///< The bad requests by outcome and reason.
    double burnRate = 0; ///< The share of bad requests as a multiple of the share that the objective allows.
};

/// Computes the burn rate; requests that failed through the caller's fault are left out. Precondition: 0 < objective < 1.
/// Thread safe.
NodeBurn computeNodeBurn(const RequestCounts&, double objective);
/// Formats two lines of text for a person. Thread safe.
std::string formatNodeBurn(const NodeBurn&, double objective);

} // namespace bilberry
