#include "NodeReport.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <set>

namespace bilberry {

// The outcomes that the caller caused; such requests count as neither good nor bad.
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
    NodeMetrics metrics;
    metrics.source = source;
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
            metrics.*(gauge->second) = sample.value;
        if (sample.name == "bilberry_requests_total")
            metrics.requests[outcomeKey(sample)] += sample.value;
        metrics.isAgent = metrics.isAgent || sample.name == "bilberry_weights_wanted_version";
    }
    return metrics;
}

static std::string formatCounts(const RequestCounts& counts)
{
    std::string text;
    for (const auto& [name, count] : counts)
        text += fmt::format("{}{} {:.0f}", text.empty() ? "" : ", ", name, count);
    return text.empty() ? "none" : text;
}

std::string formatNodeMetrics(const NodeMetrics& metrics)
{
    std::string text;
    if (metrics.isAgent)
        text = fmt::format("agent  weights {:.0f}, wanted {:.0f}, {:.0f} pieces missing", metrics.weightsVersion, metrics.wantedVersion, metrics.piecesMissing);
    else
        text = fmt::format("entry  cluster view {:.2f} s old, {:.0f} requests in progress; ended: {}", metrics.viewAgeSeconds, metrics.requestsInProgress, formatCounts(metrics.requests));
    return fmt::format("{}  {}; {:.0f} log lines dropped, {:.2f} s of CPU time, {:.1f} MB\n", metrics.source, text, metrics.logLinesDropped, metrics.cpuSeconds, metrics.memoryBytes / 1e6);
}

nlohmann::json toJson(const NodeMetrics& metrics)
{
    nlohmann::json row { { "source", metrics.source }, { "role", metrics.isAgent ? "agent" : "entry" }, { "log_lines_dropped", metrics.logLinesDropped }, { "processor_seconds", metrics.cpuSeconds }, { "memory_bytes", metrics.memoryBytes } };
    if (metrics.isAgent) {
        row.update({ { "weights_version", metrics.weightsVersion }, { "wanted_version", metrics.wantedVersion }, { "pieces_missing", metrics.piecesMissing } });
        return row;
    }
    row.update({ { "belief_age_seconds", metrics.viewAgeSeconds }, { "in_progress", metrics.requestsInProgress }, { "requests", metrics.requests } });
    return row;
}

RequestCounts requestsBetween(const std::vector<NodeMetrics>& before, const std::vector<NodeMetrics>& now)
{
    RequestCounts increase;
    for (const auto& node : now) {
        auto earlier = std::find_if(before.begin(), before.end(), [&](const NodeMetrics& other) { return other.source == node.source; });
        bool isSameProcess = earlier != before.end() && earlier->cpuSeconds <= node.cpuSeconds;
        for (const auto& [name, count] : node.requests) {
            double earlierCount = 0;
            if (isSameProcess) {
                auto found = earlier->requests.find(name);
                earlierCount = found == earlier->requests.end() ? 0 : found->second;
            }
            increase[name] += std::max(0.0, count - earlierCount);
        }
    }
    return increase;
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
