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
struct NodeFigures {
    std::string source; ///< Address or file.
    bool isAgent = false;
    double beliefAgeSeconds = 0; ///< Of an entry.
    double inProgress = 0;
    RequestCounts requests;
    double weightsVersion = 0; ///< Of an agent's engine; zero: none.
    double wantedVersion = 0;
    double piecesMissing = 0;
    double logLinesDropped = 0;
    double processorSeconds = 0;
    double memoryBytes = 0;
};

/// Takes the figures from a page of metrics; what the page doesn't have stays zero. Thread safe.
NodeFigures readNodeFigures(const std::string& source, const std::vector<MetricSample>&);
/// One line for a person, ended by a newline. Thread safe.
std::string formatNodeFigures(const NodeFigures&);
/// The same for a program. Thread safe.
nlohmann::json toJson(const NodeFigures&);

/// Requests between two readings, over all processes; a process that has started anew counts from its start. Thread safe.
RequestCounts requestsBetween(const std::vector<NodeFigures>& before, const std::vector<NodeFigures>& now);

/// How fast the requests of a window use up an error budget.
struct NodeBurn {
    double good = 0; ///< Answered.
    double bad = 0; ///< Refused or cut off for a reason that lies with the system.
    RequestCounts causes; ///< Of the bad ones.
    double rate = 0; ///< Bad ones as a multiple of what the objective allows.
};

/// Precondition: 0 < objective < 1. Thread safe.
NodeBurn burnOf(const RequestCounts&, double objective);
/// Two lines for a person. Thread safe.
std::string formatNodeBurn(const NodeBurn&, double objective);

} // namespace bilberry
