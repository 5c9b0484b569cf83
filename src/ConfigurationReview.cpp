#include "ConfigurationReview.h"

#include "Calendar.h"

#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

using Findings = std::vector<std::string>;

static size_t countEndpoints(const Inventory& inventory, RowIndex service)
{
    auto isEndpoint = [&](const Vm& vm) { return vm.role == Role::Endpoint && vm.service == service; };
    return static_cast<size_t>(std::count_if(inventory.vms.begin(), inventory.vms.end(), isEndpoint));
}

static size_t countModels(const Inventory& inventory, RowIndex service)
{
    auto isOfService = [&](const Model& model) { return model.service == service; };
    return static_cast<size_t>(std::count_if(inventory.models.begin(), inventory.models.end(), isOfService));
}

// Counts the endpoint VMs of the model's service whose weight memory can hold the model.
static size_t countFittingVms(const Inventory& inventory, const Model& model)
{
    auto fits = [&](const Vm& vm) { return vm.role == Role::Endpoint && vm.service == model.service && vm.weightMemoryBytes >= model.sizeBytes; };
    return static_cast<size_t>(std::count_if(inventory.vms.begin(), inventory.vms.end(), fits));
}

static void reviewServices(const Inventory& inventory, Findings& findings)
{
    for (RowIndex index = 0; index < inventory.services.size(); ++index) {
        const Service& service = inventory.services[index];
        auto path = fmt::format("$.inventory.services[{}]", index);
        if (countEndpoints(inventory, index) == 0)
            findings.push_back(fmt::format("{}: \"{}\": has no endpoint, so that each request is refused", path, service.name));
        if (service.kind == ServiceKind::Model && countModels(inventory, index) == 0)
            findings.push_back(fmt::format("{}: \"{}\": has no model", path, service.name));
        for (const Service& outer : inventory.services) {
            bool isNested = !outer.pathPrefix.empty() && service.pathPrefix.rfind(outer.pathPrefix + "/", 0) == 0;
            if (isNested)
                findings.push_back(fmt::format("{}.path_prefix: \"{}\": takes these paths from service \"{}\", whose prefix is \"{}\"", path, service.pathPrefix, outer.name, outer.pathPrefix));
        }
    }
}

static bool hasPlacement(const Configuration& configuration, RowIndex model)
{
    const auto& rules = configuration.rules;
    auto isOfModel = [&](const auto& rule) { return rule.model == model; };
    return std::any_of(rules.placements.begin(), rules.placements.end(), isOfModel) || std::any_of(rules.bursts.begin(), rules.bursts.end(), isOfModel);
}

static void reviewModels(const Configuration& configuration, Findings& findings)
{
    const Inventory& inventory = configuration.inventory;
    for (RowIndex index = 0; index < inventory.models.size(); ++index) {
        const Model& model = inventory.models[index];
        auto path = fmt::format("$.inventory.models[{}]", index);
        if (!hasPlacement(configuration, index))
            findings.push_back(fmt::format("{}: \"{}\": no placement or burst names it, so that no VM loads it", path, model.name));
        if (countEndpoints(inventory, model.service) > 0 && countFittingVms(inventory, model) == 0)
            findings.push_back(fmt::format("{}.size_bytes: {}: is more than weight_memory_bytes of each VM of its service", path, model.sizeBytes));
    }
}

static void reviewVms(const Configuration& configuration, Findings& findings)
{
    const Inventory& inventory = configuration.inventory;
    auto isEntry = [](const Vm& vm) { return vm.role == Role::Entry; };
    if (std::none_of(inventory.vms.begin(), inventory.vms.end(), isEntry))
        findings.emplace_back("$.inventory.vms: []: none has the role \"entry\", so that callers can't send requests");
    bool isStoreInRegion = std::any_of(inventory.dataCentres.begin(), inventory.dataCentres.end(), [&](const DataCentre& row) { return row.region == inventory.weightStoreRegion; });
    if (!isStoreInRegion)
        findings.push_back(fmt::format("$.inventory.weight_store.region: \"{}\": is the region of no data centre", inventory.weightStoreRegion));
    bool isEveryDataCentreOut = !inventory.dataCentres.empty();
    for (RowIndex index = 0; index < inventory.dataCentres.size(); ++index)
        isEveryDataCentreOut = isEveryDataCentreOut && isDataCentreOutOfService(configuration, index);
    if (isEveryDataCentreOut)
        findings.push_back(fmt::format("$.rules.data_centres_out: {} names: every data centre is out, so that each request is refused", configuration.rules.outOfServiceDataCentres.size()));
}

// Compares the number of wanted replicas with the number of VMs that can hold one.
static void reviewReplicaCount(const Inventory& inventory, const std::string& path, RowIndex model, uint32_t replicas, Findings& findings)
{
    size_t fitting = countFittingVms(inventory, inventory.models[model]);
    if (replicas > fitting)
        findings.push_back(fmt::format("{}.replicas: {}: only {} VMs can carry \"{}\"", path, replicas, fitting, inventory.models[model].name));
}

static void reviewRules(const Configuration& configuration, WallTime day, Findings& findings)
{
    const Rules& rules = configuration.rules;
    for (size_t index = 0; index < rules.placements.size(); ++index)
        reviewReplicaCount(configuration.inventory, fmt::format("$.rules.placements[{}]", index), rules.placements[index].model, rules.placements[index].replicas, findings);
    for (size_t index = 0; index < rules.bursts.size(); ++index) {
        const BurstRule& burst = rules.bursts[index];
        auto path = fmt::format("$.rules.bursts[{}]", index);
        reviewReplicaCount(configuration.inventory, path, burst.model, burst.replicas, findings);
        if (!findCalendarDay(burst.calendar, burst.month, burst.day, burst.year, day))
            findings.push_back(fmt::format("{}: \"{}\": {} has no such day in the next two years", path, burst.name, burst.calendar));
    }
}

static bool coversRule(const UnrepeatableRule& wider, const UnrepeatableRule& rule)
{
    return wider.service == rule.service && wider.method == rule.method && rule.pathPrefix.rfind(wider.pathPrefix, 0) == 0;
}

static void reviewUnrepeatable(const Rules& rules, Findings& findings)
{
    for (size_t index = 0; index < rules.unrepeatableRules.size(); ++index) {
        for (size_t other = 0; other < rules.unrepeatableRules.size(); ++other) {
            // When two rules are equal, the later one is redundant.
            bool isRedundant = other != index && coversRule(rules.unrepeatableRules[other], rules.unrepeatableRules[index]);
            bool isEqual = isRedundant && coversRule(rules.unrepeatableRules[index], rules.unrepeatableRules[other]);
            if (isRedundant && (!isEqual || other < index))
                findings.push_back(fmt::format("$.rules.unrepeatable[{}]: \"{}\": rule {} covers it already", index, rules.unrepeatableRules[index].pathPrefix, other));
        }
    }
}

std::vector<std::string> reviewConfiguration(const Configuration& configuration, WallTime day)
{
    Findings findings;
    reviewServices(configuration.inventory, findings);
    reviewModels(configuration, findings);
    reviewVms(configuration, findings);
    reviewRules(configuration, day, findings);
    reviewUnrepeatable(configuration.rules, findings);
    return findings;
}

} // namespace bilberry
