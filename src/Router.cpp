#include "Router.h"

#include "Node.h"

#include <algorithm>

namespace bilberry {

// Age from which on the record of a target's last availability is dropped.
static constexpr Seconds maxAvailabilityAge { 60 };

void Router::assignObservationIndexes(RoutingTable& table)
{
    const auto& vms = table.configuration->inventory.vms;
    for (RowIndex vm = 0; vm < vms.size(); ++vm) {
        auto nextIndex = static_cast<uint32_t>(this->observationIndexByName.size());
        table.observationIndexes[vm] = this->observationIndexByName.try_emplace(vms[vm].name, nextIndex).first->second;
    }
    for (auto& row : table.rows)
        row.observationIndex = table.observationIndexes[row.vm];
    this->observations.resize(this->observationIndexByName.size());
    this->hadFreshReport.resize(this->observationIndexByName.size());
}

// Starts the ramp-up of endpoints that are newly in the table. Those that appear while the entry itself starts get their
// full share at once.
void Router::startRampUps(const RoutingTable& table, TimePoint now)
{
    if (this->firstRefreshAt == TimePoint())
        this->firstRefreshAt = now;
    bool isStarting = now - this->firstRefreshAt < rampUpDuration;
    std::vector<bool> isEligible(this->observations.size());
    for (const auto& row : table.rows)
        isEligible[row.observationIndex] = row.hasFreshReport;
    for (size_t observationIndex = 0; observationIndex < isEligible.size(); ++observationIndex) {
        if (isEligible[observationIndex] && !this->hadFreshReport[observationIndex])
            this->observations[observationIndex].eligibleSince = isStarting ? now - rampUpDuration : now;
    }
    this->hadFreshReport = std::move(isEligible);
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
    auto configuration = node.publishedState.configuration();
    if (!configuration)
        return;
    RowIndex dataCentre = findRow(configuration->inventory.dataCentres, node.settings.dataCentre);
    auto now = Clock::now();
    auto newTable = std::make_shared<RoutingTable>(makeRoutingTable(configuration, node.publishedState.liveList().get(), node.fleet.rows(), dataCentre, now));
    std::lock_guard<std::mutex> lock(this->mutex);
    this->assignObservationIndexes(*newTable);
    this->startRampUps(*newTable, now);
    this->recordAvailableTargets(*newTable, now);
    this->currentTable = std::move(newTable);
}

std::shared_ptr<const RoutingTable> Router::table() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->currentTable;
}

EndpointObservation& Router::observationOf(const RoutingTable& table, RowIndex vm)
{
    return this->observations[table.observationIndexes[vm]];
}

RoutingChoice Router::selectEndpoint(const RoutingTable& table, const RoutingTarget& target, const std::vector<RowIndex>& excluded, uint64_t random)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto choice = chooseEndpoint(table, target, this->observations, excluded, random, Clock::now());
    if (choice.vm != noRow)
        ++this->observationOf(table, choice.vm).inProgress;
    return choice;
}

void Router::beginRequest(const RoutingTable& table, RowIndex vm)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->observationOf(table, vm).inProgress;
}

void Router::endRequest(const RoutingTable& table, RowIndex vm)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    --this->observationOf(table, vm).inProgress;
}

void Router::recordLoad(const RoutingTable& table, RowIndex vm, uint32_t inProgress, uint32_t limit)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->observationOf(table, vm).statedLoad = { inProgress, limit, Clock::now() };
}

void Router::recordRefusal(const RoutingTable& table, RowIndex vm, RefusalReason reason)
{
    auto duration = avoidanceDuration(reason);
    if (duration == Milliseconds(0))
        return;
    auto until = Clock::now() + duration;
    const auto& vms = table.configuration->inventory.vms;
    std::lock_guard<std::mutex> lock(this->mutex);
    for (RowIndex other = 0; other < vms.size(); ++other) {
        bool isAffected = other == vm || (reason == RefusalReason::DataCentreOut && vms[other].dataCentre == vms[vm].dataCentre);
        if (!isAffected)
            continue;
        auto& observation = this->observationOf(table, other);
        observation.avoidUntil = until;
        observation.avoidedFor = reason;
    }
}

bool Router::isEndpointSilent(const RoutingTable& table, RowIndex vm) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    uint32_t observationIndex = table.observationIndexes[vm];
    for (const auto& row : this->currentTable->rows) {
        if (row.observationIndex == observationIndex)
            return bilberry::isSilent(std::max(row.reportedLoad.statedAt, this->observations[observationIndex].statedLoad.statedAt), this->currentTable->typicalReportAt, Clock::now());
    }
    return false;
}

} // namespace bilberry
