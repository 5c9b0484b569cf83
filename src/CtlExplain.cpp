#include "CtlCommands.h"
#include "Explain.h"
#include "ProcessClient.h"
#include "RequestTimeline.h"

#include <algorithm>
#include <cstdio>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

DEFINE_string(service, "", "explain request: name of the service");
DEFINE_string(model, "", "explain request: name of the model, instead of --service");

namespace bilberry {

const char explainUsage[] = R"(bilberryctl explain vm NAME [--at=YYYY-MM-DD] [--json] --process=IP:port
  Shows for each model why the VM carries it or why it doesn't.
bilberryctl explain ID < LOG
  Reads the logs of several processes from standard input and shows the timeline of the request with that id: times,
  attempts, and the data that each decision was based on.
bilberryctl explain request (--service=NAME | --model=NAME) [--json] --process=IP:port
  Shows for each endpoint what keeps it from taking such a request now, as seen by the process. Ask an entry in the
  data centre in question.
  exit codes: 0 the VM carries a model / the id was found / an endpoint is available, 1 it carries none / no line has
  the id / the request would be refused, 2 wrong usage, 3 the process could not be reached
)";

// The data of one process that an explanation is based on.
struct ProcessView {
    ProcessStatus status;
    Configuration configuration;
    std::optional<LiveList> liveList;
};

static const LiveList* liveListOrNull(const ProcessView& view)
{
    return view.liveList ? &*view.liveList : nullptr;
}

static absl::StatusOr<ProcessView> fetchProcessView(const std::string& address)
{
    auto status = fetchStatus(address);
    if (!status.ok())
        return status.status();
    auto configuration = fetchConfiguration(address);
    if (!configuration.ok())
        return configuration.status();
    auto document = fetchDocument(address, DocumentKind::LiveList);
    if (!document.ok())
        return document.status();
    ProcessView view { std::move(*status), std::move(*configuration), std::nullopt };
    auto live = parseLiveList(document->text, document->generation);
    if (live.ok())
        view.liveList = std::move(*live);
    return view;
}

static int printVmExplanation(const ProcessView& view, const std::string& name, WallTime day)
{
    using nlohmann::json;
    RowIndex vm = findRow(view.configuration.inventory.vms, name);
    if (vm == noRow)
        return reportCommandError("explain", fmt::format("\"{}\" is not a VM of the inventory in force", name), exitUsage);
    json rows = json::array();
    bool hasAnyModel = false;
    for (const auto& verdict : explainVm(view.configuration, liveListOrNull(view), vm, day)) {
        const std::string& model = view.configuration.inventory.models[verdict.model].name;
        hasAnyModel = hasAnyModel || verdict.isPlaced;
        rows.push_back({ { "vm", name }, { "model", model }, { "carries", verdict.isPlaced }, { "reason", verdict.reason } });
        if (!FLAGS_json)
            std::printf("%s %s %s: %s\n", name.c_str(), verdict.isPlaced ? "carries" : "does not carry", model.c_str(), verdict.reason.c_str());
    }
    if (FLAGS_json)
        std::printf("%s\n", rows.dump(1).c_str());
    return hasAnyModel ? exitOk : exitProblemFound;
}

// Finds the service and model of the flags. The error names the one that the inventory doesn't have.
static absl::StatusOr<RoutingTarget> parseTargetFlags(const Inventory& inventory)
{
    if (FLAGS_service.empty() == FLAGS_model.empty())
        return absl::InvalidArgumentError("explain request needs either --service or --model");
    RoutingTarget target;
    if (FLAGS_model.empty()) {
        target.service = findRow(inventory.services, FLAGS_service);
    } else {
        target.model = findRow(inventory.models, FLAGS_model);
        target.service = target.model == noRow ? noRow : inventory.models[target.model].service;
    }
    if (target.service == noRow)
        return absl::InvalidArgumentError(fmt::format("\"{}\" is not in the inventory in force (unknown-service)", FLAGS_model.empty() ? FLAGS_service : FLAGS_model));
    return target;
}

static std::vector<FleetRow> toFleetRows(const ProcessStatus& status, TimePoint now)
{
    std::vector<FleetRow> rows;
    for (const auto& vm : status.vms) {
        FleetRow row;
        row.status = vm.status;
        row.reportedAt = now - vm.reportAge;
        rows.push_back(std::move(row));
    }
    return rows;
}

static int printRequestExplanation(const ProcessView& view)
{
    using nlohmann::json;
    auto target = parseTargetFlags(view.configuration.inventory);
    if (!target.ok())
        return reportCommandError("explain", target.status(), exitUsage);
    auto now = Clock::now();
    json rows = json::array();
    int availableCount = 0;
    for (const auto& verdict : explainRequest(view.configuration, liveListOrNull(view), toFleetRows(view.status, now), *target, now)) {
        const Vm& vm = view.configuration.inventory.vms[verdict.vm];
        const std::string& dataCentre = view.configuration.inventory.dataCentres[vm.dataCentre].name;
        availableCount += verdict.state == EndpointState::Available ? 1 : 0;
        rows.push_back({ { "vm", vm.name }, { "data_centre", dataCentre }, { "state", toText(verdict.state) }, { "detail", verdict.detail } });
        if (!FLAGS_json)
            std::printf("%-28s %-16s %-18s %s\n", vm.name.c_str(), dataCentre.c_str(), std::string(toText(verdict.state)).c_str(), verdict.detail.c_str());
    }
    const char* outcome = availableCount > 0 ? "would be accepted" : "would be refused";
    if (FLAGS_json)
        std::printf("%s\n", json { { "from", view.status.vm }, { "available", availableCount }, { "endpoints", rows } }.dump(1).c_str());
    else
        std::printf("a request at %s in %s %s: %d of %zu endpoints are available\n", view.status.vm.c_str(), view.status.dataCentre.c_str(), outcome, availableCount, rows.size());
    return availableCount > 0 ? exitOk : exitProblemFound;
}

// Prints the timeline of one request from the log lines on standard input.
static int printRequestTimeline(const std::string& request)
{
    auto log = readLogLines(std::cin);
    if (log.unreadableCount > 0)
        std::fprintf(stderr, "bilberryctl explain: %zu lines of the input are not log lines\n", log.unreadableCount);
    auto timeline = formatRequestTimeline(log, request);
    if (timeline.empty())
        return reportCommandError("explain", fmt::format("none of the {} log lines read has the request id {}", log.lines.size(), request), exitProblemFound);
    std::fputs(timeline.c_str(), stdout);
    return exitOk;
}

int runExplain(const CtlArguments& arguments)
{
    bool isRequestId = arguments.size() == 1 && arguments[0] != "request" && arguments[0] != "vm";
    if (isRequestId)
        return printRequestTimeline(arguments[0]);
    bool isVm = arguments.size() == 2 && arguments[0] == "vm";
    bool isRequest = arguments.size() == 1 && arguments[0] == "request";
    if (!isVm && !isRequest)
        return reportCommandError("explain", "needs \"vm NAME\", \"request\" or the id of a request", exitUsage);
    auto addresses = parseProcessFlag();
    if (!addresses.ok())
        return reportCommandError("explain", addresses.status(), exitUsage);
    auto day = parseAtFlag();
    if (!day.ok())
        return reportCommandError("explain", day.status(), exitUsage);
    auto view = fetchProcessView(addresses->front());
    if (!view.ok())
        return reportCommandError("explain", view.status(), exitUnreachable);
    return isVm ? printVmExplanation(*view, arguments[1], *day) : printRequestExplanation(*view);
}

} // namespace bilberry
