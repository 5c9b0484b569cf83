/// What the metrics of entries and agents say of them, for operators.
#pragma once

#include "MetricsText.h"

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace bilberry {

/// Ended requests by outcome and, where it has one, reason: "answered", "refused/overloaded".
using RequestCounts = std::map<std::string, double>;

/// One process, as its metrics tell.
struct NodeMetrics {
    std::string source; ///< Address or file.
    bool isAgent = false;
    double viewAgeSeconds = 0; ///< Of an entry.
    double requestsInProgress = 0;
    RequestCounts requests;
    double weightsVersion = 0; ///< Of an agent's engine; zero: none.
    double wantedVersion = 0;
    double piecesMissing = 0;
    double logLinesDropped = 0;
    double cpuSeconds = 0;
    double memoryBytes = 0;
};

/// Takes the figures from a page of metrics; what the page doesn't have stays zero. Thread safe.
NodeMetrics extractNodeMetrics(const std::string& source, const std::vector<MetricSample>&);
/// One line for a person, ended by a newline. Thread safe.
std::string formatNodeMetrics(const NodeMetrics&);
/// The same for a program. Thread safe.
nlohmann::json toJson(const NodeMetrics&);

/// Requests between two readings, over all processes; a process that has started anew counts from its start. Thread safe.
RequestCounts requestsBetween(const std::vector<NodeMetrics>& before, const std::vector<NodeMetrics>& now);

/// How fast the requests of a window use up an error budget.
struct NodeBurn {
    double good = 0; ///< Answered.
    double bad = 0; ///< Refused or cut off for a reason that lies with the system.
    RequestCounts badByCause; ///< Of the bad ones.
    double burnRate = 0; ///< Bad ones as a multiple of what the objective allows.
};

/// Precondition: 0 < objective < 1. Thread safe.
NodeBurn computeNodeBurn(const RequestCounts&, double objective);
/// Two lines for a person. Thread safe.
std::string formatNodeBurn(const NodeBurn&, double objective);

} // namespace bilberry
