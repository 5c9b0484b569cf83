#include "Router.h"

#include "Node.h"

#include <algorithm>

namespace bilberry {

// An endpoint's process reports several times in this time.
static constexpr Milliseconds silenceLimit { 3000 };

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

RowIndex Router::choose(const RoutingTable& table, const RoutingTarget& target, const std::vector<RowIndex>& excluded, uint64_t random)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    RowIndex vm = chooseEndpoint(table, target, this->evidence, excluded, random, Clock::now());
    if (vm != noRow)
        ++this->evidenceOf(table, vm).inProgress;
    return vm;
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
            return Clock::now() - std::max(row.reported.at, this->evidence[slot].answered.at) > silenceLimit;
    }
    return false;
}

} // namespace bilberry
