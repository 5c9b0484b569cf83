#include "CtlCommands.h"
#include "CtlNodes.h"
#include "ProcessClient.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace bilberry {

const char statusUsage[] = R"(bilberryctl status [--json] --process=IP:port[,IP:port...]
  Shows the state of each process: the generations in force, requests in progress, and each VM that it has a report of,
  with the report's age, the admission limit and the served versions. Lists processes that disagree on the configuration.
bilberryctl status [--json] --metrics=IP:port|FILE[,...]
  Shows the state of entries and agents on the users' platform, from their metrics or from files with metrics pages.
  exit codes: 0 all answered and agree, 1 they disagree, 2 wrong usage, 3 a process could not be reached
)";

static void printStatus(const std::vector<ProcessStatus>& processes, const std::vector<std::string>& disagreements)
{
    using nlohmann::json;
    if (FLAGS_json) {
        json rows = json::array();
        for (const auto& process : processes)
            rows.push_back(toJson(process));
        std::printf("%s\n", json { { "processes", rows }, { "disagreements", disagreements } }.dump(1).c_str());
        return;
    }
    for (const auto& process : processes)
        std::fputs(formatStatus(process).c_str(), stdout);
    for (const auto& line : disagreements)
        std::printf("disagreement: %s\n", line.c_str());
}

int runStatus(const CtlArguments& arguments)
{
    if (!FLAGS_metrics.empty() && arguments.empty())
        return runNodeStatus();
    auto addresses = parseProcessFlag();
    if (!addresses.ok())
        return reportCommandError("status", addresses.status(), exitUsage);
    if (!arguments.empty())
        return reportCommandError("status", "takes flags only, no other arguments", exitUsage);
    std::vector<ProcessStatus> processes;
    int exitCode = exitOk;
    for (const auto& address : *addresses) {
        auto status = fetchStatus(address);
        if (status.ok())
            processes.push_back(std::move(*status));
        else
            exitCode = reportCommandError("status", status.status(), exitUnreachable);
    }
    auto disagreements = findDisagreements(processes);
    printStatus(processes, disagreements);
    if (exitCode == exitOk && !disagreements.empty())
        exitCode = exitProblemFound;
    return exitCode;
}

} // namespace bilberry
