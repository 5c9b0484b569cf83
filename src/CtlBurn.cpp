#include "BurnReport.h"
#include "BurnText.h"
#include "CtlCommands.h"
#include "CtlNodes.h"
#include "ProcessClient.h"

#include <algorithm>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

DEFINE_int32(interval_ms, 5000, "burn: length of the short window in ms, 100 to 3600000");
DEFINE_string(since, "", "burn: file with the snapshot at which the long window begins");
DEFINE_string(save, "", "burn: file to write the present snapshot to");
DEFINE_bool(all, false, "burn: ask each process of the inventory, found through the first of --process");

namespace bilberry {

const char burnUsage[] = R"(bilberryctl burn [--all] [--interval_ms=N] [--since=FILE] [--save=FILE] [--json] --process=IP:port[,...]
  Shows, per service and client account, the objective, good and bad requests by cause, the error budget left and the
  burn rate over two windows. The short window is measured now; the long one begins with the snapshot that an earlier
  call saved, or else with the start of each process. Objectives come from the rules in force at the first process.
bilberryctl burn [--objective=SHARE] [--interval_ms=N | --earlier=FILE,...] [--json] --metrics=IP:port|FILE[,...]
  Shows good and bad requests of entries on the users' platform and the burn rate between two readings of their metrics:
  now and after the interval, or the files of --earlier and now.
  exit codes: 0 within the objectives, 1 a burn rate is above 1 in both windows, 2 wrong usage, 3 a process could not be
  reached
)";

static constexpr int minIntervalMs = 100;
static constexpr int maxIntervalMs = 3'600'000;

static absl::StatusOr<ProcessCounters> fetchCounters(const std::string& address)
{
    auto status = fetchStatus(address);
    if (!status.ok())
        return status.status();
    auto text = fetchMetrics(address);
    if (!text.ok())
        return text.status();
    auto samples = parseMetricsText(*text);
    if (!samples.ok())
        return samples.status();
    return ProcessCounters { status->vm, status->dataCentre, status->incarnation, selectBurnSamples(*samples) };
}

// Reads the counters of each process. Errors go to `failures`, whose key is the address.
static BurnSnapshot takeSnapshot(const std::vector<std::string>& addresses, std::map<std::string, std::string>& failures)
{
    BurnSnapshot snapshot { std::chrono::system_clock::now(), {} };
    for (const auto& address : addresses) {
        auto counters = fetchCounters(address);
        if (counters.ok())
            snapshot.processes.push_back(std::move(*counters));
        else
            failures[address] = std::string(counters.status().message());
    }
    return snapshot;
}

static absl::StatusOr<BurnSnapshot> readSnapshotFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return absl::NotFoundError(path + ": can't be read");
    std::stringstream content;
    content << file.rdbuf();
    auto snapshot = decodeSnapshot(content.str());
    if (!snapshot.ok())
        return absl::InvalidArgumentError(path + ": " + std::string(snapshot.status().message()));
    return snapshot;
}

static bool saveSnapshot(const BurnSnapshot& snapshot)
{
    if (FLAGS_save.empty())
        return true;
    std::ofstream file(FLAGS_save);
    file << encodeSnapshot(snapshot);
    return static_cast<bool>(file.flush());
}

static std::vector<std::string> vmAddresses(const Inventory& inventory)
{
    std::vector<std::string> addresses;
    for (const auto& vm : inventory.vms)
        addresses.push_back(vm.address);
    return addresses;
}

static Milliseconds elapsedTime(WallTime begin, WallTime end)
{
    return std::chrono::duration_cast<Milliseconds>(end - begin);
}

static int printReport(const BurnReport& report)
{
    auto text = FLAGS_json ? toJson(report).dump(1) + "\n" : formatBurnReport(report);
    std::fputs(text.c_str(), stdout);
    bool burns = std::any_of(report.rows.begin(), report.rows.end(), [](const BurnRow& row) { return row.level == BurnLevel::SlowBurn || row.level == BurnLevel::FastBurn; });
    return burns ? exitProblemFound : exitOk;
}

static int measureAndPrintBurn(const Configuration& configuration, const std::vector<std::string>& addresses, const BurnSnapshot& start)
{
    std::map<std::string, std::string> failures;
    auto before = takeSnapshot(addresses, failures);
    std::this_thread::sleep_for(Milliseconds(FLAGS_interval_ms));
    auto now = takeSnapshot(addresses, failures);
    auto report = makeBurnReport(configuration, subtractSnapshot(now, before), subtractSnapshot(now, start));
    report.shortWindow = elapsedTime(before.takenAt, now.takenAt);
    report.longWindow = FLAGS_since.empty() ? Milliseconds(0) : elapsedTime(start.takenAt, now.takenAt);
    int exitCode = printReport(report);
    for (const auto& [address, failure] : failures)
        exitCode = reportCommandError("burn", failure, exitUnreachable);
    if (!saveSnapshot(now))
        exitCode = reportCommandError("burn", FLAGS_save + ": can't be written", exitProblemFound);
    return exitCode;
}

int runBurn(const CtlArguments& arguments)
{
    if (!arguments.empty())
        return reportCommandError("burn", "takes flags only, no other arguments", exitUsage);
    if (FLAGS_interval_ms < minIntervalMs || FLAGS_interval_ms > maxIntervalMs)
        return reportCommandError("burn", fmt::format("--interval_ms: {} is not between {} and {}", FLAGS_interval_ms, minIntervalMs, maxIntervalMs), exitUsage);
    if (!FLAGS_metrics.empty())
        return runNodeBurn();
    auto addresses = parseProcessFlag();
    if (!addresses.ok())
        return reportCommandError("burn", addresses.status(), exitUsage);
    BurnSnapshot start;
    if (!FLAGS_since.empty()) {
        auto read = readSnapshotFile(FLAGS_since);
        if (!read.ok())
            return reportCommandError("burn", read.status(), exitUsage);
        start = std::move(*read);
    }
    auto configuration = fetchConfiguration(addresses->front());
    if (!configuration.ok())
        return reportCommandError("burn", configuration.status(), exitUnreachable);
    return measureAndPrintBurn(*configuration, FLAGS_all ? vmAddresses(configuration->inventory) : *addresses, start);
}

} // namespace bilberry
