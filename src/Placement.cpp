#include "Placement.h"

#include "Calendar.h"
#include "Rendezvous.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>

namespace bilberry {

static bool isBurstActive(const BurstRule& burst, WallTime now)
{
    auto day = std::chrono::hours(24);
    auto tolerance = calendarTolerance(burst.calendar);
    auto before = day * burst.leadDays + tolerance;
    auto after = day * burst.durationDays + tolerance;
    // The search starts early enough that it also finds the first day of a burst whose last day is today.
    auto start = findCalendarDay(burst.calendar, burst.month, burst.day, burst.year, now - after + day);
    return start && now >= *start - before && now < *start + after;
}

ReplicaTarget findReplicaTarget(const Configuration& configuration, RowIndex model, WallTime now)
{
    ReplicaTarget target;
    auto raiseTarget = [&](uint32_t replicas, const std::string& reason) {
        if (replicas > target.replicas)
            target = { replicas, reason };
    };
    for (const auto& rule : configuration.rules.placements) {
        if (rule.model == model)
            raiseTarget(rule.replicas, "placement rule");
    }
    for (const auto& burst : configuration.rules.bursts) {
        if (burst.model == model && isBurstActive(burst, now))
            raiseTarget(burst.replicas, "burst " + burst.name);
    }
    return target;
}

uint32_t wantedReplicas(const Configuration& configuration, RowIndex model, WallTime now)
{
    return findReplicaTarget(configuration, model, now).replicas;
}

// State of one call of placeModels().
struct PlacementState {
    const Configuration& configuration;
    std::vector<uint64_t> freeBytes; ///< By VM: weight memory that is not assigned yet.
    std::vector<std::vector<RowIndex>> candidates; ///< By data centre: VMs that can take the current model, best first.
};

static bool isCandidate(const Configuration& configuration, const LiveList* liveList, RowIndex model, RowIndex vm)
{
    const Vm& row = configuration.inventory.vms[vm];
    if (row.role != Role::Endpoint || row.service != configuration.inventory.models[model].service)
        return false;
    if (isVmLeaving(configuration, vm))
        return false;
    if (!liveList)
        return true;
    auto found = liveList->vms.find(row.name);
    return found != liveList->vms.end() && found->second == LiveState::Live;
}

static void collectCandidates(PlacementState& state, const LiveList* liveList, RowIndex model)
{
    const Inventory& inventory = state.configuration.inventory;
    state.candidates.assign(inventory.dataCentres.size(), {});
    for (RowIndex vm = 0; vm < inventory.vms.size(); ++vm) {
        bool fits = state.freeBytes[vm] >= inventory.models[model].sizeBytes;
        if (fits && isCandidate(state.configuration, liveList, model, vm))
            state.candidates[inventory.vms[vm].dataCentre].push_back(vm);
    }
    const std::string& key = inventory.models[model].name;
    auto hasHigherScore = [&](RowIndex first, RowIndex second) {
        return rendezvousScore(key, inventory.vms[first].name) > rendezvousScore(key, inventory.vms[second].name);
    };
    for (auto& list : state.candidates)
        std::sort(list.begin(), list.end(), hasHigherScore);
}

static bool mustSurviveDataCentreLoss(const Configuration& configuration, RowIndex model)
{
    for (const auto& rule : configuration.rules.placements) {
        if (rule.model == model)
            return rule.shouldSurviveDataCentreLoss;
    }
    return true;
}

// Returns the number of replicas in each data centre. With `surviveLoss`, `wanted` replicas remain when the data centre with the
// most replicas is lost. The total is lower when there are too few candidates.
static std::vector<uint32_t> divideReplicasAmongDataCentres(const PlacementState& state, uint32_t wanted, bool surviveLoss)
{
    std::vector<uint32_t> counts(state.candidates.size(), 0);
    auto countedReplicas = [&] {
        uint32_t total = std::accumulate(counts.begin(), counts.end(), 0U);
        return surviveLoss ? total - *std::max_element(counts.begin(), counts.end()) : total;
    };
    while (!counts.empty() && countedReplicas() < wanted) {
        // The next replica goes to the data centre with the fewest replicas among those that have a free candidate.
        size_t best = counts.size();
        for (size_t dataCentre = 0; dataCentre < counts.size(); ++dataCentre) {
            bool hasRoom = counts[dataCentre] < state.candidates[dataCentre].size();
            if (hasRoom && (best == counts.size() || counts[dataCentre] < counts[best]))
                best = dataCentre;
        }
        if (best == counts.size())
            break;
        ++counts[best];
    }
    return counts;
}

// Returns the reason of a row as text for operators.
static std::string describeRow(const Configuration& configuration, const ReplicaTarget& target, RowIndex dataCentre, uint32_t position, uint32_t count)
{
    return fmt::format("{} sets a target of {}; this is replica {} of {} in {}", target.reason, target.replicas, position + 1, count, configuration.inventory.dataCentres[dataCentre].name);
}

static void placeModel(PlacementState& state, RowIndex model, const ReplicaTarget& target, Placement& placement)
{
    uint32_t wanted = target.replicas;
    bool surviveLoss = mustSurviveDataCentreLoss(state.configuration, model);
    auto counts = divideReplicasAmongDataCentres(state, wanted, surviveLoss);
    uint32_t placed = 0;
    uint32_t largest = 0;
    for (size_t dataCentre = 0; dataCentre < counts.size(); ++dataCentre) {
        for (uint32_t i = 0; i < counts[dataCentre]; ++i) {
            RowIndex vm = state.candidates[dataCentre][i];
            state.freeBytes[vm] -= state.configuration.inventory.models[model].sizeBytes;
            placement.rows.push_back({ model, vm, describeRow(state.configuration, target, static_cast<RowIndex>(dataCentre), i, counts[dataCentre]) });
            ++placed;
        }
        largest = std::max(largest, counts[dataCentre]);
    }
    uint32_t countedReplicas = surviveLoss ? placed - largest : placed;
    if (countedReplicas < wanted)
        placement.shortfalls.push_back({ model, wanted, countedReplicas, surviveLoss ? "too few VMs with free memory to keep the replicas when a data centre is lost" : "too few VMs with free memory" });
}

Placement placeModels(const Configuration& configuration, const LiveList* liveList, WallTime now)
{
    PlacementState state { configuration, {}, {} };
    for (const auto& vm : configuration.inventory.vms)
        state.freeBytes.push_back(vm.weightMemoryBytes);
    Placement placement;
    for (RowIndex model = 0; model < configuration.inventory.models.size(); ++model) {
        auto target = findReplicaTarget(configuration, model, now);
        if (target.replicas == 0)
            continue;
        collectCandidates(state, liveList, model);
        placeModel(state, model, target, placement);
    }
    return placement;
}

std::vector<RowIndex> modelsOnVm(const Placement& placement, RowIndex vm)
{
    std::vector<RowIndex> models;
    for (const auto& row : placement.rows) {
        if (row.vm == vm)
            models.push_back(row.model);
    }
    return models;
}

} // namespace bilberry
