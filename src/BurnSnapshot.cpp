#include "BurnSnapshot.h"

#include "DocumentReader.h"
#include "ServiceLevel.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

static constexpr std::array<std::string_view, 8> burnMetrics { metric::answeredRequests, metric::refusals, metric::slowAnswers, metric::brokenStreams,
    metric::dataCentreOut, metric::dataCentreChanges, metric::chunkBytes, metric::loadOrders };

std::vector<MetricSample> selectBurnSamples(const std::vector<MetricSample>& samples)
{
    std::vector<MetricSample> selected;
    std::copy_if(samples.begin(), samples.end(), std::back_inserter(selected), [](const MetricSample& sample) {
        return std::find(burnMetrics.begin(), burnMetrics.end(), sample.name) != burnMetrics.end();
    });
    return selected;
}

using SampleKey = std::pair<std::string, MetricLabels>;

static void subtractProcess(ProcessCounters& later, const ProcessCounters& earlier)
{
    if (later.incarnation != earlier.incarnation)
        return;
    std::map<SampleKey, double> before;
    for (const auto& sample : earlier.samples)
        before[{ sample.name, sample.labels }] = sample.value;
    for (auto& sample : later.samples) {
        auto found = before.find({ sample.name, sample.labels });
        if (found != before.end() && absl::EndsWith(sample.name, "_total"))
            sample.value = std::max(0.0, sample.value - found->second);
    }
}

// Removes the counters of a process that was running at the earlier snapshot but wasn't read then, since their increase is
// unknown.
static void dropCounters(ProcessCounters& process)
{
    auto isCounter = [](const MetricSample& sample) { return absl::EndsWith(sample.name, "_total"); };
    process.samples.erase(std::remove_if(process.samples.begin(), process.samples.end(), isCounter), process.samples.end());
}

BurnSnapshot subtractSnapshot(const BurnSnapshot& later, const BurnSnapshot& earlier)
{
    BurnSnapshot difference = later;
    auto earlierMs = std::chrono::duration_cast<Milliseconds>(earlier.takenAt.time_since_epoch()).count();
    for (auto& process : difference.processes) {
        auto found = std::find_if(earlier.processes.begin(), earlier.processes.end(), [&](const ProcessCounters& row) { return row.vm == process.vm; });
        if (found != earlier.processes.end())
            subtractProcess(process, *found);
        else if (static_cast<int64_t>(process.incarnation) <= earlierMs)
            dropCounters(process);
    }
    return difference;
}

std::string encodeSnapshot(const BurnSnapshot& snapshot)
{
    json processes = json::array();
    for (const auto& process : snapshot.processes) {
        json samples = json::array();
        for (const auto& sample : process.samples)
            samples.push_back({ { "name", sample.name }, { "labels", sample.labels }, { "value", sample.value } });
        processes.push_back({ { "vm", process.vm }, { "data_centre", process.dataCentre }, { "incarnation", process.incarnation }, { "samples", samples } });
    }
    auto takenAt = std::chrono::duration_cast<Milliseconds>(snapshot.takenAt.time_since_epoch()).count();
    return json { { "taken_at_unix_ms", takenAt }, { "processes", processes } }.dump(1, ' ', true, json::error_handler_t::replace) + "\n";
}

static ProcessCounters parseProcessCounters(const json& object)
{
    ProcessCounters process;
    process.vm = object.at("vm").get<std::string>();
    process.dataCentre = object.at("data_centre").get<std::string>();
    process.incarnation = object.at("incarnation").get<uint64_t>();
    for (const auto& sample : object.at("samples"))
        process.samples.push_back({ sample.at("name").get<std::string>(), sample.at("labels").get<MetricLabels>(), sample.at("value").get<double>() });
    return process;
}

absl::StatusOr<BurnSnapshot> decodeSnapshot(std::string_view text)
{
    auto document = parseDocument(text);
    if (!document.ok())
        return document.status();
    try {
        BurnSnapshot snapshot;
        snapshot.takenAt = WallTime(Milliseconds(document->at("taken_at_unix_ms").get<int64_t>()));
        for (const auto& process : document->at("processes"))
            snapshot.processes.push_back(parseProcessCounters(process));
        return snapshot;
    } catch (const json::exception& exception) {
        return absl::InvalidArgumentError(absl::StrCat("not a burn snapshot: ", exception.what()));
    }
}

} // namespace bilberry
