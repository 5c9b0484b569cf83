#include "NodeReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace bilberry {

// What a caller has brought upon itself; such requests are neither good nor bad.
static const std::set<std::string>& callerFaultOutcomes()
{
    static const std::set<std::string> reasons { "caller_left", "refused/unknown_key", "refused/no_route", "refused/no_request_id" };
    return reasons;
}

static std::string outcomeKey(const MetricSample& sample)
{
    auto reason = findLabel(sample.labels, "reason");
    auto outcome = findLabel(sample.labels, "outcome");
    return reason.empty() ? outcome : outcome + "/" + reason;
}

NodeMetrics extractNodeMetrics(const std::string& source, const std::vector<MetricSample>& samples)
{
    NodeMetrics figures;
    figures.source = source;
    const std::map<std::string, double NodeMetrics::*> gauges {
        { "bilberry_belief_age_seconds", &NodeMetrics::viewAgeSeconds },
        { "bilberry_requests_in_progress", &NodeMetrics::requestsInProgress },
        { "bilberry_weights_version", &NodeMetrics::weightsVersion },
        { "bilberry_weights_wanted_version", &NodeMetrics::wantedVersion },
        { "bilberry_pieces_missing", &NodeMetrics::piecesMissing },
        { "bilberry_log_lines_dropped", &NodeMetrics::logLinesDropped },
        { "process_cpu_seconds", &NodeMetrics::cpuSeconds },
        { "process_resident_memory_bytes", &NodeMetrics::memoryBytes },
    };
    for (const auto& sample : samples) {
        if (auto gauge = gauges.find(sample.name); gauge != gauges.end())
            figures.*(gauge->second) = sample.value;
        if (sample.name == "bilberry_requests_total")
            figures.requests[outcomeKey(sample)] += sample.value;
        figures.isAgent = figures.isAgent || sample.name == "bilberry_weights_wanted_version";
    }
    return figures;
}

static std::string formatCounts(const RequestCounts& counts)
{
    std::string text;
    for (const auto& [name, count] : counts)
        text += fmt::format("{}{} {:.0f}", text.empty() ? "" : ", ", name, count);
    return text.empty() ? "none" : text;
}

std::string formatNodeMetrics(const NodeMetrics& figures)
{
    std::string text;
    if (figures.isAgent)
        text = fmt::format("agent  weights {:.0f}, wanted {:.0f}, {:.0f} pieces missing", figures.weightsVersion, figures.wantedVersion, figures.piecesMissing);
    else
        text = fmt::format("entry  knowledge {:.2f} s old, {:.0f} requests in progress; ended: {}", figures.viewAgeSeconds, figures.requestsInProgress, formatCounts(figures.requests));
    return fmt::format("{}  {}; {:.0f} log lines dropped, {:.2f} s of processor, {:.1f} MB\n", figures.source, text, figures.logLinesDropped, figures.cpuSeconds, figures.memoryBytes / 1e6);
}

nlohmann::json toJson(const NodeMetrics& figures)
{
    nlohmann::json row { { "source", figures.source }, { "role", figures.isAgent ? "agent" : "entry" }, { "log_lines_dropped", figures.logLinesDropped }, { "processor_seconds", figures.cpuSeconds }, { "memory_bytes", figures.memoryBytes } };
    if (figures.isAgent) {
        row.update({ { "weights_version", figures.weightsVersion }, { "wanted_version", figures.wantedVersion }, { "pieces_missing", figures.piecesMissing } });
        return row;
    }
    row.update({ { "belief_age_seconds", figures.viewAgeSeconds }, { "in_progress", figures.requestsInProgress }, { "requests", figures.requests } });
    return row;
}

RequestCounts requestsBetween(const std::vector<NodeMetrics>& before, const std::vector<NodeMetrics>& now)
{
    RequestCounts between;
    for (const auto& node : now) {
        auto earlier = std::find_if(before.begin(), before.end(), [&](const NodeMetrics& other) { return other.source == node.source; });
        bool isSameStart = earlier != before.end() && earlier->cpuSeconds <= node.cpuSeconds;
        for (const auto& [name, count] : node.requests) {
            double since = 0;
            if (isSameStart) {
                auto found = earlier->requests.find(name);
                since = found == earlier->requests.end() ? 0 : found->second;
            }
            between[name] += std::max(0.0, count - since);
        }
    }
    return between;
}

NodeBurn computeNodeBurn(const RequestCounts& counts, double objective)
{
    NodeBurn burn;
    for (const auto& [name, count] : counts) {
        if (callerFaultOutcomes().count(name) != 0 || count <= 0)
            continue;
        if (name == "answered") {
            burn.good += count;
            continue;
        }
        burn.bad += count;
        burn.badByCause[name] += count;
    }
    double all = burn.good + burn.bad;
    burn.burnRate = all > 0 ? burn.bad / all / (1 - objective) : 0;
    return burn;
}

std::string formatNodeBurn(const NodeBurn& burn, double objective)
{
    return fmt::format("objective {}: {:.0f} good, {:.0f} bad, burn rate {:.2f}\n  bad by cause: {}\n", objective, burn.good, burn.bad, burn.burnRate, formatCounts(burn.badByCause));
}

} // namespace bilberry
