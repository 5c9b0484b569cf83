#include "CtlNodes.h"

#include "Address.h"
#include "CtlCommands.h"
#include "NodeReport.h"
#include "ProcessClient.h"

#include <absl/strings/str_split.h>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <thread>

DEFINE_string(metrics, "", "status and burn of entries and agents, and route: comma-separated IP:port of their metrics listeners, or files with a metrics page");
DEFINE_string(earlier, "", "burn: files with earlier metrics pages, in the order of --metrics, used instead of a first reading and a wait of --interval_ms");
DEFINE_double(objective, 0.999, "burn of entries: share of requests that should be answered, above 0 and below 1");
DECLARE_int32(interval_ms);

namespace bilberry {

using Readings = std::vector<NodeMetrics>;

static absl::StatusOr<std::string> readMetricsPage(const std::string& source)
{
    if (parseAddress(source).ok())
        return fetchMetrics(source);
    std::ifstream file(source);
    if (!file)
        return absl::NotFoundError(source + ": neither IP:port nor a readable file");
    return std::string(std::istreambuf_iterator<char>(file), {});
}

// Reads the metrics page of each source in `sourceList`. A reading gets the source name at the same position in `nameList`,
// so that files of an earlier reading can be matched with the processes. The error names the page that can't be read.
static absl::StatusOr<Readings> readAllSources(const std::string& sourceList, const std::string& nameList)
{
    std::vector<std::string> sources = absl::StrSplit(sourceList, ',', absl::SkipEmpty());
    std::vector<std::string> sourceNames = absl::StrSplit(nameList, ',', absl::SkipEmpty());
    if (sources.size() != sourceNames.size())
        return absl::InvalidArgumentError(fmt::format("--earlier names {} files, --metrics {} sources", sources.size(), sourceNames.size()));
    Readings readings;
    for (size_t i = 0; i < sources.size(); ++i) {
        auto page = readMetricsPage(sources[i]);
        auto samples = page.ok() ? parseMetricsText(*page) : absl::StatusOr<std::vector<MetricSample>>(page.status());
        if (!samples.ok())
            return absl::UnavailableError(fmt::format("{}: {}", sources[i], std::string(samples.status().message())));
        readings.push_back(extractNodeMetrics(sourceNames[i], *samples));
    }
    return readings;
}

int runNodeStatus()
{
    auto readings = readAllSources(FLAGS_metrics, FLAGS_metrics);
    if (!readings.ok())
        return reportCommandError("status", readings.status(), exitUnreachable);
    auto rows = nlohmann::json::array();
    for (const auto& node : *readings) {
        rows.push_back(toJson(node));
        if (!FLAGS_json)
            std::fputs(formatNodeMetrics(node).c_str(), stdout);
    }
    if (FLAGS_json)
        std::printf("%s\n", rows.dump(1).c_str());
    return exitOk;
}

int runNodeBurn()
{
    if (FLAGS_objective <= 0 || FLAGS_objective >= 1)
        return reportCommandError("burn", fmt::format("--objective: {} is not above 0 and below 1", FLAGS_objective), exitUsage);
    auto before = FLAGS_earlier.empty() ? readAllSources(FLAGS_metrics, FLAGS_metrics) : readAllSources(FLAGS_earlier, FLAGS_metrics);
    if (before.ok() && FLAGS_earlier.empty())
        std::this_thread::sleep_for(Milliseconds(FLAGS_interval_ms));
    auto now = before.ok() ? readAllSources(FLAGS_metrics, FLAGS_metrics) : before;
    if (!now.ok())
        return reportCommandError("burn", now.status(), absl::IsInvalidArgument(now.status()) ? exitUsage : exitUnreachable);
    auto burn = computeNodeBurn(requestsBetween(*before, *now), FLAGS_objective);
    if (FLAGS_json)
        std::printf("%s\n", nlohmann::json { { "good", burn.good }, { "bad", burn.bad }, { "causes", burn.badByCause }, { "burn_rate", burn.burnRate } }.dump(1).c_str());
    else
        std::fputs(formatNodeBurn(burn, FLAGS_objective).c_str(), stdout);
    return burn.burnRate > 1 ? exitProblemFound : exitOk;
}

} // namespace bilberry
