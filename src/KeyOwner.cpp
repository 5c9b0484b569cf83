#include "KeyOwner.h"

#include "Rendezvous.h"
#include "Routing.h"

#include <algorithm>
#include <unordered_map>

namespace bilberry {

std::string makeScopedKey(std::string_view service, std::string_view caller, std::string_view key)
{
    std::string scoped(service);
    scoped.push_back('\0');
    scoped += caller;
    scoped.push_back('\0');
    scoped += key;
    return scoped;
}

uint32_t findKeySlot(std::string_view scopedKey)
{
    return static_cast<uint32_t>(hashText(scopedKey) % keySlotCount);
}

struct ScoredVm {
    RowIndex vm = noRow;
    uint64_t score = 0;
    size_t rankInDataCentre = 0;
};

// The endpoints of a service by falling score; equal scores by row.
static std::vector<ScoredVm> scoreEndpoints(const Inventory& inventory, RowIndex service, std::string_view seed)
{
    std::vector<ScoredVm> scored;
    for (RowIndex vm = 0; vm < inventory.vms.size(); ++vm) {
        if (inventory.vms[vm].role == Role::Endpoint && inventory.vms[vm].service == service)
            scored.push_back({ vm, rendezvousScore(seed, inventory.vms[vm].name) });
    }
    std::sort(scored.begin(), scored.end(), [](const auto& first, const auto& second) {
        return first.score != second.score ? first.score > second.score : first.vm < second.vm;
    });
    return scored;
}

std::vector<RowIndex> rankSlotOwners(const Configuration& configuration, RowIndex service, uint32_t slot)
{
    const Inventory& inventory = configuration.inventory;
    std::vector<RowIndex> owners;
    for (const auto& scored : scoreEndpoints(inventory, service, inventory.services[service].name + "/" + std::to_string(slot))) {
        if (!isDataCentreOut(configuration, inventory.vms[scored.vm].dataCentre) && !isVmLeaving(configuration, scored.vm))
            owners.push_back(scored.vm);
    }
    return owners;
}

std::vector<RowIndex> findKeyVoters(const Configuration& configuration, RowIndex service)
{
    const Inventory& inventory = configuration.inventory;
    auto scored = scoreEndpoints(inventory, service, inventory.services[service].name);
    // The best of each data centre first, then the second ones, and so on.
    std::unordered_map<RowIndex, size_t> seen;
    for (auto& row : scored)
        row.rankInDataCentre = seen[inventory.vms[row.vm].dataCentre]++;
    std::stable_sort(scored.begin(), scored.end(), [](const auto& first, const auto& second) {
        return first.rankInDataCentre < second.rankInDataCentre;
    });
    std::vector<RowIndex> voters;
    for (size_t i = 0; i < scored.size() && i < maxKeyVoters; ++i)
        voters.push_back(scored[i].vm);
    return voters;
}

RowIndex chooseKeyOwner(const RoutingTable& table, RowIndex service, std::string_view scopedKey, const std::vector<RowIndex>& tried)
{
    if (tried.size() >= maxOwnersAsked)
        return noRow;
    auto owners = rankSlotOwners(*table.configuration, service, findKeySlot(scopedKey));
    auto wasTried = [&](RowIndex vm) { return std::find(tried.begin(), tried.end(), vm) != tried.end(); };
    auto isReported = [&](RowIndex vm) {
        return std::any_of(table.rows.begin(), table.rows.end(), [vm](const auto& row) { return row.vm == vm && row.isReported; });
    };
    owners.erase(std::remove_if(owners.begin(), owners.end(), wasTried), owners.end());
    if (owners.empty())
        return noRow;
    auto reported = std::find_if(owners.begin(), owners.end(), isReported);
    return reported != owners.end() ? *reported : owners.front();
}

bool hasUnrepeatableRequests(const Configuration& configuration, RowIndex service)
{
    const auto& rules = configuration.rules.unrepeatable;
    return std::any_of(rules.begin(), rules.end(), [service](const auto& rule) { return rule.service == service; });
}

} // namespace bilberry
