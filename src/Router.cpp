#include "Router.h"

#include "Node.h"

#include <algorithm>

namespace bilberry {

// Age at which it is forgotten that a target was served.
static constexpr Seconds longestServedAge { 60 };

void Router::fillSlots(RoutingTable& table)
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
void Router::startRamps(const RoutingTable& table, TimePoint now)
{
    if (this->firstRefreshAt == TimePoint())
        this->firstRefreshAt = now;
    bool isStarting = now - this->firstRefreshAt < rampDuration;
    std::vector<bool> isEligible(this->evidence.size());
    for (const auto& row : table.rows)
        isEligible[row.slot] = row.isReported;
    for (size_t slot = 0; slot < isEligible.size(); ++slot) {
        if (isEligible[slot] && !this->wasEligible[slot])
            this->evidence[slot].eligibleSince = isStarting ? now - rampDuration : now;
    }
    this->wasEligible = std::move(isEligible);
}

static std::pair<std::string, std::string> targetName(const Inventory& inventory, RowIndex service, RowIndex model)
{
    return { inventory.services[service].name, model == noRow ? std::string() : inventory.models[model].name };
}

void Router::noteServed(const RoutingTable& table, TimePoint now)
{
    for (const auto& group : table.groups)
        this->servedAt[targetName(table.configuration->inventory, group.service, group.model)] = now;
    for (auto position = this->servedAt.begin(); position != this->servedAt.end();)
        position = now - position->second > longestServedAge ? this->servedAt.erase(position) : std::next(position);
}

Duration Router::sinceServed(const RoutingTable& table, const RoutingTarget& target, TimePoint now) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->servedAt.find(targetName(table.configuration->inventory, target.service, target.model));
    return found == this->servedAt.end() ? Duration::max() : now - found->second;
}

void Router::refresh(const Node& node)
{
    auto configuration = node.published.configuration();
    if (!configuration)
        return;
    RowIndex dataCentre = findRow(configuration->inventory.dataCentres, node.settings.dataCentre);
    auto now = Clock::now();
    auto made = std::make_shared<RoutingTable>(makeRoutingTable(configuration, node.published.liveList().get(), node.fleet.rows(), dataCentre, now));
    std::lock_guard<std::mutex> lock(this->mutex);
    this->fillSlots(*made);
    this->startRamps(*made, now);
    this->noteServed(*made, now);
    this->current = std::move(made);
}

std::shared_ptr<const RoutingTable> Router::table() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->current;
}

EndpointEvidence& Router::evidenceOf(const RoutingTable& table, RowIndex vm)
{
    return this->evidence[table.slots[vm]];
}

RoutingChoice Router::choose(const RoutingTable& table, const RoutingTarget& target, const std::vector<RowIndex>& excluded, uint64_t random)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto choice = chooseEndpoint(table, target, this->evidence, excluded, random, Clock::now());
    if (choice.vm != noRow)
        ++this->evidenceOf(table, choice.vm).inProgress;
    return choice;
}

void Router::acquire(const RoutingTable& table, RowIndex vm)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->evidenceOf(table, vm).inProgress;
}

void Router::release(const RoutingTable& table, RowIndex vm)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    --this->evidenceOf(table, vm).inProgress;
}

void Router::noteLoad(const RoutingTable& table, RowIndex vm, uint32_t inProgress, uint32_t limit)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->evidenceOf(table, vm).answered = { inProgress, limit, Clock::now() };
}

void Router::noteRefusal(const RoutingTable& table, RowIndex vm, RefusalReason reason)
{
    auto time = avoidTime(reason);
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

bool Router::isSilent(const RoutingTable& table, RowIndex vm) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    uint32_t slot = table.slots[vm];
    for (const auto& row : this->current->rows) {
        if (row.slot == slot)
            return bilberry::isSilent(std::max(row.reported.at, this->evidence[slot].answered.at), this->current->usualReportAt, Clock::now());
    }
    return false;
}

} // namespace bilberry
