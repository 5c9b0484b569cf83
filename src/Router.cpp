#include "Router.h"

#include "Node.h"

#include <algorithm>

namespace bilberry {

// Age at which it is forgotten that a target was served.
static constexpr Seconds maxAvailabilityAge { 60 };

void Router::assignSlots(RoutingTable& table)
{
    const auto& vms = table.configuration->inventory.vms;
    for (RowIndex vm = 0; vm < vms.size(); ++vm) {
        auto next = static_cast<uint32_t>(this->slotByName.size());
        table.slots[vm] = this->slotByName.try_emplace(vms[vm].name, next).first->second;
    }
    for (auto& row : table.rows)
        row.slot = table.slots[row.vm];
    this->evidence.resize(this->slotByName.size());
    this->wasEligible.resize(this->slotByName.size());
}

// An endpoint that comes into the table later than the entry's own start begins its ramp.
void Router::startRampUps(const RoutingTable& table, TimePoint now)
{
    if (this->firstRefreshAt == TimePoint())
        this->firstRefreshAt = now;
    bool isStarting = now - this->firstRefreshAt < rampUpDuration;
    std::vector<bool> isEligible(this->evidence.size());
    for (const auto& row : table.rows)
        isEligible[row.slot] = row.hasFreshReport;
    for (size_t slot = 0; slot < isEligible.size(); ++slot) {
        if (isEligible[slot] && !this->wasEligible[slot])
            this->evidence[slot].eligibleSince = isStarting ? now - rampUpDuration : now;
    }
    this->wasEligible = std::move(isEligible);
}

static std::pair<std::string, std::string> targetName(const Inventory& inventory, RowIndex service, RowIndex model)
{
    return { inventory.services[service].name, model == noRow ? std::string() : inventory.models[model].name };
}

void Router::recordAvailableTargets(const RoutingTable& table, TimePoint now)
{
    for (const auto& group : table.groups)
        this->lastAvailableAt[targetName(table.configuration->inventory, group.service, group.model)] = now;
    for (auto position = this->lastAvailableAt.begin(); position != this->lastAvailableAt.end();)
        position = now - position->second > maxAvailabilityAge ? this->lastAvailableAt.erase(position) : std::next(position);
}

Duration Router::timeSinceAvailable(const RoutingTable& table, const RoutingTarget& target, TimePoint now) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->lastAvailableAt.find(targetName(table.configuration->inventory, target.service, target.model));
    return found == this->lastAvailableAt.end() ? Duration::max() : now - found->second;
}

void Router::refreshTable(const Node& node)
{
    auto configuration = node.published.configuration();
    if (!configuration)
        return;
    RowIndex dataCentre = findRow(configuration->inventory.dataCentres, node.settings.dataCentre);
    auto now = Clock::now();
    auto made = std::make_shared<RoutingTable>(makeRoutingTable(configuration, node.published.liveList().get(), node.fleet.rows(), dataCentre, now));
    std::lock_guard<std::mutex> lock(this->mutex);
    this->assignSlots(*made);
    this->startRampUps(*made, now);
    this->recordAvailableTargets(*made, now);
    this->currentTable = std::move(made);
}

std::shared_ptr<const RoutingTable> Router::table() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->currentTable;
}

EndpointObservation& Router::evidenceOf(const RoutingTable& table, RowIndex vm)
{
    return this->evidence[table.slots[vm]];
}

RoutingChoice Router::selectEndpoint(const RoutingTable& table, const RoutingTarget& target, const std::vector<RowIndex>& excluded, uint64_t random)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto choice = chooseEndpoint(table, target, this->evidence, excluded, random, Clock::now());
    if (choice.vm != noRow)
        ++this->evidenceOf(table, choice.vm).inProgress;
    return choice;
}

void Router::beginRequest(const RoutingTable& table, RowIndex vm)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->evidenceOf(table, vm).inProgress;
}

void Router::endRequest(const RoutingTable& table, RowIndex vm)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    --this->evidenceOf(table, vm).inProgress;
}

void Router::recordLoad(const RoutingTable& table, RowIndex vm, uint32_t inProgress, uint32_t limit)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->evidenceOf(table, vm).statedLoad = { inProgress, limit, Clock::now() };
}

void Router::recordRefusal(const RoutingTable& table, RowIndex vm, RefusalReason reason)
{
    auto time = avoidanceDuration(reason);
    if (time == Milliseconds(0))
        return;
    auto until = Clock::now() + time;
    const auto& vms = table.configuration->inventory.vms;
    std::lock_guard<std::mutex> lock(this->mutex);
    for (RowIndex other = 0; other < vms.size(); ++other) {
        bool isConcerned = other == vm || (reason == RefusalReason::DataCentreOut && vms[other].dataCentre == vms[vm].dataCentre);
        if (isConcerned)
            this->evidenceOf(table, other).avoidUntil = until;
    }
}

bool Router::isEndpointSilent(const RoutingTable& table, RowIndex vm) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    uint32_t slot = table.slots[vm];
    for (const auto& row : this->currentTable->rows) {
        if (row.slot == slot)
            return bilberry::isSilent(std::max(row.reportedLoad.statedAt, this->evidence[slot].statedLoad.statedAt), this->currentTable->typicalReportAt, Clock::now());
    }
    return false;
}

} // namespace bilberry
