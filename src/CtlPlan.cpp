#include "CtlCommands.h"
#include "DocumentFiles.h"
#include "PlanReport.h"
#include "ProcessClient.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace bilberry {

const char planUsage[] = R"(bilberryctl plan [--at=YYYY-MM-DD] [--json] FILE...
bilberryctl plan [--at=YYYY-MM-DD] [--json] --process=IP:port
  Shows which models are placed on which VMs on a day, the burst rules with their civil dates, and replicas that can't be
  placed; from files, or from the configuration and live list in force at a process.
  exit codes: 0 all replicas are placed, 1 invalid documents or missing replicas, 2 wrong usage, 3 the process could not
  be reached
)";

static int printPlan(const Configuration& configuration, const LiveList* liveList, WallTime day)
{
    auto report = makePlanReport(configuration, liveList, day);
    auto text = FLAGS_json ? toJson(configuration, report).dump(1) + "\n" : formatPlan(configuration, report);
    std::fputs(text.c_str(), stdout);
    return report.placement.shortfalls.empty() ? exitOk : exitProblemFound;
}

static int printPlanOfProcess(WallTime day)
{
    auto addresses = parseProcessFlag();
    if (!addresses.ok())
        return reportCommandError("plan", addresses.status(), exitUsage);
    auto configuration = fetchConfiguration(addresses->front());
    if (!configuration.ok())
        return reportCommandError("plan", configuration.status(), exitUnreachable);
    auto document = fetchDocument(addresses->front(), DocumentKind::LiveList);
    if (!document.ok())
        return reportCommandError("plan", document.status(), exitUnreachable);
    auto liveList = parseLiveList(document->text, document->generation);
    return printPlan(*configuration, liveList.ok() ? &*liveList : nullptr, day);
}

int runPlan(const CtlArguments& paths)
{
    auto day = parseAtFlag();
    if (!day.ok())
        return reportCommandError("plan", day.status(), exitUsage);
    if (paths.empty() == FLAGS_process.empty())
        return reportCommandError("plan", "needs either files or --process", exitUsage);
    if (paths.empty())
        return printPlanOfProcess(*day);
    auto text = joinDocumentFiles(paths);
    if (!text.ok())
        return reportCommandError("plan", text.status(), exitProblemFound);
    auto configuration = parseConfiguration(*text, 1);
    if (!configuration.ok())
        return reportCommandError("plan", configuration.status(), exitProblemFound);
    return printPlan(*configuration, nullptr, *day);
}

} // namespace bilberry
