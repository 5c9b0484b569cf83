#include "Explain.h"

#include "Placement.h"

#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

std::string_view toText(EndpointState state)
{
    switch (state) {
    case EndpointState::Available:
        return "available";
    case EndpointState::DataCentreOut:
        return "data-centre-out";
    case EndpointState::Leaving:
        return "leaving";
    case EndpointState::NoRecentReport:
        return "not-heard";
    case EndpointState::VersionNotReady:
        return "version-not-ready";
    case EndpointState::AtLimit:
        return "overloaded";
    }
    return "available";
}

static bool isLive(const LiveList* liveList, const std::string& vm)
{
    if (!liveList)
        return true;
    auto found = liveList->vms.find(vm);
    return found != liveList->vms.end() && found->second == LiveState::Live;
}

static std::string explainNotPlaced(const Configuration& configuration, const LiveList* liveList, RowIndex vm, RowIndex model, WallTime day)
{
    const Inventory& inventory = configuration.inventory;
    const Vm& vmRow = inventory.vms[vm];
    const Model& modelRow = inventory.models[model];
    uint32_t replicas = wantedReplicas(configuration, model, day);
    if (vmRow.role == Role::Entry)
        return "an entry VM carries no model";
    if (vmRow.service != modelRow.service)
        return fmt::format("the VM is of service \"{}\", the model of \"{}\"", inventory.services[vmRow.service].name, inventory.services[modelRow.service].name);
    if (replicas == 0)
        return "no rule wants a replica of the model on this day";
    if (isVmLeaving(configuration, vm))
        return "the rules have the VM as leaving";
    if (!isLive(liveList, vmRow.name))
        return "the live list does not have the VM as live";
    if (vmRow.weightMemoryBytes < modelRow.sizeBytes)
        return fmt::format("its weight memory of {} bytes is less than the model's {}", vmRow.weightMemoryBytes, modelRow.sizeBytes);
    return fmt::format("the {} wanted replicas are on VMs that come first in the placement order, or other models use its memory", replicas);
}

std::vector<PlacementVerdict> explainVm(const Configuration& configuration, const LiveList* liveList, RowIndex vm, WallTime day)
{
    auto placement = placeModels(configuration, liveList, day);
    std::vector<PlacementVerdict> verdicts;
    for (RowIndex model = 0; model < configuration.inventory.models.size(); ++model) {
        auto found = std::find_if(placement.rows.begin(), placement.rows.end(), [&](const PlacementRow& row) { return row.model == model && row.vm == vm; });
        bool isPlaced = found != placement.rows.end();
        std::string reason = isPlaced ? found->reason : explainNotPlaced(configuration, liveList, vm, model, day);
        verdicts.push_back({ model, isPlaced, std::move(reason) });
    }
    return verdicts;
}

static bool servesModel(const VmStatus& status, const std::string& model)
{
    return std::any_of(status.servedModels.begin(), status.servedModels.end(), [&](const ServedVersion& served) { return served.model == model; });
}

// Checks the configuration and the live list. The state is Available when they don't exclude the endpoint.
static EndpointVerdict checkConfiguredState(const Configuration& configuration, const LiveList* liveList, RowIndex vm)
{
    const Vm& vmRow = configuration.inventory.vms[vm];
    if (isDataCentreOutOfService(configuration, vmRow.dataCentre))
        return { vm, EndpointState::DataCentreOut, fmt::format("{} is out of service", configuration.inventory.dataCentres[vmRow.dataCentre].name) };
    if (isVmLeaving(configuration, vm))
        return { vm, EndpointState::Leaving, "according to the rules" };
    auto found = liveList ? liveList->vms.find(vmRow.name) : decltype(liveList->vms.find(vmRow.name)) {};
    if (liveList && found != liveList->vms.end() && found->second == LiveState::Leaving)
        return { vm, EndpointState::Leaving, "according to the live list" };
    return { vm, EndpointState::Available, {} };
}

// Checks the last report of the endpoint, which is null when there is none.
static EndpointVerdict checkReportedState(const Configuration& configuration, const FleetRow* report, RowIndex vm, RowIndex model, TimePoint now)
{
    if (!report)
        return { vm, EndpointState::NoRecentReport, "there is no report of it" };
    const VmStatus& status = report->status;
    auto age = std::chrono::duration_cast<Milliseconds>(now - report->reportedAt);
    if (status.isLeaving)
        return { vm, EndpointState::Leaving, "according to its own report" };
    if (age > reportLifetime)
        return { vm, EndpointState::NoRecentReport, fmt::format("its last report is {} ms old", age.count()) };
    if (model != noRow && !servesModel(status, configuration.inventory.models[model].name))
        return { vm, EndpointState::VersionNotReady, "its engine serves no version of the model" };
    auto load = fmt::format("{} of {} requests{}", status.requestsInProgress, status.admissionLimit, status.isCold ? ", cold" : "");
    bool isFull = status.requestsInProgress >= std::max(1U, status.admissionLimit);
    return { vm, isFull ? EndpointState::AtLimit : EndpointState::Available, load };
}

std::vector<EndpointVerdict> explainRequest(const Configuration& configuration, const LiveList* liveList, const std::vector<FleetRow>& reports, RoutingTarget target, TimePoint now)
{
    std::vector<EndpointVerdict> verdicts;
    const auto& vms = configuration.inventory.vms;
    for (RowIndex vm = 0; vm < vms.size(); ++vm) {
        if (vms[vm].role != Role::Endpoint || vms[vm].service != target.service)
            continue;
        auto found = std::find_if(reports.begin(), reports.end(), [&](const FleetRow& row) { return row.status.vm == vms[vm].name; });
        auto verdict = checkConfiguredState(configuration, liveList, vm);
        if (verdict.state == EndpointState::Available)
            verdict = checkReportedState(configuration, found == reports.end() ? nullptr : &*found, vm, target.model, now);
        verdicts.push_back(std::move(verdict));
    }
    return verdicts;
}

} // namespace bilberry
