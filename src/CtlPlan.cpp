#include "CtlCommands.h"
#include "DocumentFiles.h"
#include "PlanReport.h"
#include "ProcessClient.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace bilberry {

const char planUsage[] = R"(bilberryctl plan [--at=YYYY-MM-DD] [--json] FILE...
bilberryctl plan [--at=YYYY-MM-DD] [--json] --process=IP:port
  Shows which model goes on which VM on a day, the burst rules with their civil dates, and what can't be met; from
  files, or from the configuration and live list in force at a process.
  exit codes: 0 all is met, 1 faulty documents or a wish that can't be met, 2 wrong usage, 3 the process was not reached
)";

static int printPlan(const Configuration& configuration, const LiveList* live, WallTime day)
{
    auto report = makePlanReport(configuration, live, day);
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
    auto live = parseLiveList(document->text, document->generation);
    return printPlan(*configuration, live.ok() ? &*live : nullptr, day);
}

int runPlan(const CtlArguments& paths)
{
    auto day = parseAtFlag();
    if (!day.ok())
        return reportCommandError("plan", day.status(), exitUsage);
    if (paths.empty() == FLAGS_process.empty())
        return reportCommandError("plan", "takes either files or --process", exitUsage);
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
