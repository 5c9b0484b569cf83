#include "FleetView.h"

#include "Log.h"
#include "Node.h"

#include <algorithm>
#include <unordered_set>

namespace bilberry {

MemberState memberState(const Node& node, const Configuration& configuration, RowIndex vm, TimePoint now)
{
    const std::string& name = configuration.inventory.vms[vm].name;
    MembershipSignals signals;
    signals.isConfigured = true;
    signals.isConfiguredLeaving = isVmLeaving(configuration, vm);
    if (auto list = node.publishedState.liveList()) {
        auto listed = list->vms.find(name);
        signals.isListed = listed != list->vms.end();
        signals.isListedLeaving = signals.isListed && listed->second == LiveState::Leaving;
    }
    if (auto heartbeat = node.fleet.reportSummary(name)) {
        signals.reportAge = now - heartbeat->reportedAt;
        signals.reportsLeaving = heartbeat->isLeaving;
    }
    return classifyMember(signals);
}

std::vector<std::string> coveredVms(const Inventory& inventory, const std::string& dataCentre)
{
    RowIndex wanted = dataCentre.empty() ? noRow : findRow(inventory.dataCentres, dataCentre);
    std::vector<std::string> names;
    names.reserve(inventory.vms.size());
    for (const auto& vm : inventory.vms) {
        if (dataCentre.empty() || vm.dataCentre == wanted)
            names.push_back(vm.name);
    }
    return names;
}

std::vector<DigestEntry> makeDigest(const Node& node, const std::vector<std::string>& vms, TimePoint now)
{
    std::vector<DigestEntry> entries(vms.size());
    for (size_t i = 0; i < vms.size(); ++i)
        node.fleet.visitRow(vms[i], [&](const FleetRow& row) { entries[i] = makeDigestEntry(row, now); });
    return entries;
}

std::vector<AgedStatus> recentRows(const Node& node, TimePoint now, Duration maxAge, size_t limit)
{
    auto rows = node.fleet.rows();
    auto isOld = [&](const FleetRow& row) { return now - row.changedAt > maxAge; };
    rows.erase(std::remove_if(rows.begin(), rows.end(), isOld), rows.end());
    std::sort(rows.begin(), rows.end(), [](const FleetRow& first, const FleetRow& second) { return first.changedAt > second.changedAt; });
    rows.resize(std::min(rows.size(), limit));
    std::vector<AgedStatus> aged;
    aged.reserve(rows.size());
    for (auto& row : rows)
        aged.push_back({ std::move(row.status), std::chrono::duration_cast<Milliseconds>(now - row.reportedAt) });
    return aged;
}

// Raises this process's incarnation above that of a foreign report under this VM's name. Such a report comes from another
// process with the same name, or from an earlier process of this VM whose clock was ahead.
static void raiseIncarnation(Node& node, const VmStatus& other, Duration age)
{
    auto own = node.incarnation.load();
    bool isAhead = other.incarnation > own || (other.incarnation == own && other.sequence > node.statusSequence);
    if (!isAhead || age > reportLifetime)
        return;
    node.incarnation = other.incarnation + 1;
    node.metrics.addToCounter("bilberry_incarnation_conflicts_total");
    logEvent(LogLevel::Warning, "incarnation_raised", "from={} to={}", own, other.incarnation + 1);
}

void mergeRows(Node& node, const std::vector<AgedStatus>& rows, TimePoint sentAt)
{
    auto configuration = node.publishedState.heldConfiguration();
    for (const auto& row : rows) {
        if (row.age > reportLifetime)
            continue;
        if (row.status.vm == node.settings.vm)
            raiseIncarnation(node, row.status, row.age);
        else if (!configuration || findRow(configuration->inventory.vms, row.status.vm) != noRow)
            node.fleet.merge(row.status, row.age, sentAt);
    }
}

void mergeDigest(Node& node, const std::vector<std::string>& vms, const std::vector<DigestEntry>& own, const std::vector<DigestEntry>& other, TimePoint sentAt)
{
    for (size_t i = 0; i < vms.size(); ++i) {
        bool isSame = own[i].version != 0 && own[i].version == other[i].version && other[i].ageUnits < maxAgeUnits;
        if (isSame && vms[i] != node.settings.vm)
            node.fleet.refresh(vms[i], other[i].inProgress, sentAt - other[i].ageUnits * digestAgeUnit);
    }
}

bool isWatcher(const Node& node)
{
    auto configuration = node.publishedState.heldConfiguration();
    RowIndex own = configuration ? findOwnVm(node, *configuration) : noRow;
    if (own == noRow)
        return true;
    auto now = Clock::now();
    const Inventory& inventory = configuration->inventory;
    std::vector<WatchCandidate> candidates { { node.settings.vm, node.lacksService } };
    for (const auto& vm : inventory.vms) {
        if (vm.dataCentre != inventory.vms[own].dataCentre || vm.name == node.settings.vm)
            continue;
        auto heartbeat = node.fleet.reportSummary(vm.name);
        if (heartbeat && now - heartbeat->reportedAt <= watcherSuspicionTimeout && !heartbeat->isLeaving)
            candidates.push_back({ vm.name, heartbeat->lacksService });
    }
    auto watchers = chooseWatchers(candidates);
    return std::find(watchers.begin(), watchers.end(), node.settings.vm) != watchers.end();
}

} // namespace bilberry
