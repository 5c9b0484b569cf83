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
    // The day whose burst ended just now still counts.
    auto start = findCalendarDay(burst.calendar, burst.month, burst.day, burst.year, now - after + day);
    return start && now >= *start - before && now < *start + after;
}

ReplicaTarget findReplicaTarget(const Configuration& configuration, RowIndex model, WallTime now)
{
    ReplicaTarget wish;
    auto raise = [&](uint32_t replicas, const std::string& reason) {
        if (replicas > wish.replicas)
            wish = { replicas, reason };
    };
    for (const auto& rule : configuration.rules.placements) {
        if (rule.model == model)
            raise(rule.replicas, "placement rule");
    }
    for (const auto& burst : configuration.rules.bursts) {
        if (burst.model == model && isBurstActive(burst, now))
            raise(burst.replicas, "burst " + burst.name);
    }
    return wish;
}

uint32_t wantedReplicas(const Configuration& configuration, RowIndex model, WallTime now)
{
    return findReplicaTarget(configuration, model, now).replicas;
}

// State of one placement: the VMs' free memory and the candidates of the model at hand.
struct PlacementState {
    const Configuration& configuration;
    std::vector<uint64_t> freeBytes;
    std::vector<std::vector<RowIndex>> candidates; ///< By data centre, best first.
};

static bool isCandidate(const Configuration& configuration, const LiveList* live, RowIndex model, RowIndex vm)
{
    const Vm& row = configuration.inventory.vms[vm];
    if (row.role != Role::Endpoint || row.service != configuration.inventory.models[model].service)
        return false;
    if (isVmLeaving(configuration, vm))
        return false;
    if (!live)
        return true;
    auto found = live->vms.find(row.name);
    return found != live->vms.end() && found->second == LiveState::Live;
}

static void collectCandidates(PlacementState& work, const LiveList* live, RowIndex model)
{
    const Inventory& inventory = work.configuration.inventory;
    work.candidates.assign(inventory.dataCentres.size(), {});
    for (RowIndex vm = 0; vm < inventory.vms.size(); ++vm) {
        bool fits = work.freeBytes[vm] >= inventory.models[model].sizeBytes;
        if (fits && isCandidate(work.configuration, live, model, vm))
            work.candidates[inventory.vms[vm].dataCentre].push_back(vm);
    }
    const std::string& key = inventory.models[model].name;
    auto isBetter = [&](RowIndex first, RowIndex second) {
        return rendezvousScore(key, inventory.vms[first].name) > rendezvousScore(key, inventory.vms[second].name);
    };
    for (auto& list : work.candidates)
        std::sort(list.begin(), list.end(), isBetter);
}

static bool mustSurviveDataCentreLoss(const Configuration& configuration, RowIndex model)
{
    for (const auto& rule : configuration.rules.placements) {
        if (rule.model == model)
            return rule.surviveDataCentreLoss;
    }
    return true;
}

// Replicas a data centre, so that `wanted` remain when the one with the most is lost.
static std::vector<uint32_t> divideReplicasAmongDataCentres(const PlacementState& work, uint32_t wanted, bool surviveLoss)
{
    std::vector<uint32_t> counts(work.candidates.size(), 0);
    auto remaining = [&] {
        uint32_t total = std::accumulate(counts.begin(), counts.end(), 0U);
        return surviveLoss ? total - *std::max_element(counts.begin(), counts.end()) : total;
    };
    while (!counts.empty() && remaining() < wanted) {
        // The data centre with the fewest replicas that has room takes the next one.
        size_t best = counts.size();
        for (size_t dataCentre = 0; dataCentre < counts.size(); ++dataCentre) {
            bool hasRoom = counts[dataCentre] < work.candidates[dataCentre].size();
            if (hasRoom && (best == counts.size() || counts[dataCentre] < counts[best]))
                best = dataCentre;
        }
        if (best == counts.size())
            break;
        ++counts[best];
    }
    return counts;
}

// What an operator reads beside a row.
static std::string describeRow(const Configuration& configuration, const ReplicaTarget& wish, RowIndex dataCentre, uint32_t position, uint32_t count)
{
    return fmt::format("{} wants {}; replica {} of {} in {}", wish.reason, wish.replicas, position + 1, count, configuration.inventory.dataCentres[dataCentre].name);
}

static void placeModel(PlacementState& work, RowIndex model, const ReplicaTarget& wish, Placement& placement)
{
    uint32_t wanted = wish.replicas;
    bool surviveLoss = mustSurviveDataCentreLoss(work.configuration, model);
    auto counts = divideReplicasAmongDataCentres(work, wanted, surviveLoss);
    uint32_t placed = 0;
    uint32_t largest = 0;
    for (size_t dataCentre = 0; dataCentre < counts.size(); ++dataCentre) {
        for (uint32_t i = 0; i < counts[dataCentre]; ++i) {
            RowIndex vm = work.candidates[dataCentre][i];
            work.freeBytes[vm] -= work.configuration.inventory.models[model].sizeBytes;
            placement.rows.push_back({ model, vm, describeRow(work.configuration, wish, static_cast<RowIndex>(dataCentre), i, counts[dataCentre]) });
            ++placed;
        }
        largest = std::max(largest, counts[dataCentre]);
    }
    uint32_t remaining = surviveLoss ? placed - largest : placed;
    if (remaining < wanted)
        placement.shortfalls.push_back({ model, wanted, remaining, surviveLoss ? "too few VMs with room to lose a data centre" : "too few VMs with room" });
}

Placement placeModels(const Configuration& configuration, const LiveList* live, WallTime now)
{
    PlacementState work { configuration, {}, {} };
    for (const auto& vm : configuration.inventory.vms)
        work.freeBytes.push_back(vm.weightMemoryBytes);
    Placement placement;
    for (RowIndex model = 0; model < configuration.inventory.models.size(); ++model) {
        auto wish = findReplicaTarget(configuration, model, now);
        if (wish.replicas == 0)
            continue;
        collectCandidates(work, live, model);
        placeModel(work, model, wish, placement);
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
