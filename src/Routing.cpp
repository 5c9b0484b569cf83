#include "Routing.h"

#include <algorithm>
#include <unordered_map>

namespace bilberry {

// Maximum number of pairs of candidates that are compared in one locality before candidates are examined one by one.
static constexpr int maxCandidatePairs = 4;
// Maximum number of candidates of one locality that are examined one by one when no pair had free capacity.
static constexpr size_t maxScannedCandidates = 16;
// Load by which the endpoint preferred for a prefix may exceed the other candidate.
static constexpr double prefixLoadTolerance = 0.25;
// An endpoint is silent when its last message is older than this time plus this many times the typical age of a report.
static constexpr Milliseconds minSilenceDuration { 3000 };
static constexpr int silenceFactor = 3;
// Share of its capacity that an endpoint gets when it returns to service.
static constexpr double initialRampUpShare = 0.1;

static Locality localityOf(const Inventory& inventory, RowIndex ownDataCentre, RowIndex other)
{
    if (other == ownDataCentre)
        return Locality::SameDataCentre;
    bool isRegional = ownDataCentre != noRow && inSameRegion(inventory, ownDataCentre, other);
    return isRegional ? Locality::SameRegion : Locality::OtherRegion;
}

static bool mayReceiveRequests(const Configuration& configuration, const LiveList* liveList, RowIndex vm)
{
    const Vm& row = configuration.inventory.vms[vm];
    if (row.role != Role::Endpoint || isDataCentreOutOfService(configuration, row.dataCentre) || isVmLeaving(configuration, vm))
        return false;
    if (!liveList)
        return true;
    auto found = liveList->vms.find(row.name);
    return found == liveList->vms.end() || found->second == LiveState::Live;
}

static void fillFromReport(RoutingRow& row, const FleetRow& report, const Inventory& inventory, TimePoint now)
{
    row.hasFreshReport = now - report.reportedAt <= reportLifetime;
    row.reportedLoad = { report.status.requestsInProgress, std::max(1U, report.status.admissionLimit), report.reportedAt };
    for (const auto& served : report.status.servedModels) {
        RowIndex model = findRow(inventory.models, served.model);
        if (model != noRow)
            row.models.push_back(model);
    }
}

static RoutingGroup& findOrAddGroup(RoutingTable& table, RowIndex service, RowIndex model)
{
    for (auto& group : table.groups) {
        if (group.service == service && group.model == model)
            return group;
    }
    table.groups.push_back({ service, model, {} });
    return table.groups.back();
}

static void addToGroups(RoutingTable& table, uint32_t position, bool isPlain)
{
    const RoutingRow& row = table.rows[position];
    auto locality = static_cast<size_t>(row.locality);
    if (isPlain)
        findOrAddGroup(table, row.service, noRow).rows[locality].push_back(position);
    for (RowIndex model : row.models)
        findOrAddGroup(table, row.service, model).rows[locality].push_back(position);
}

static TimePoint findTypicalReportTime(const std::vector<RoutingRow>& rows)
{
    std::vector<TimePoint> times;
    times.reserve(rows.size());
    for (const auto& row : rows)
        times.push_back(row.reportedLoad.statedAt);
    if (times.empty())
        return {};
    auto quarter = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 4);
    std::nth_element(times.begin(), quarter, times.end(), std::greater<>());
    return *quarter;
}

RoutingTable makeRoutingTable(ConfigurationPointer configuration, const LiveList* liveList, const std::vector<FleetRow>& reports, RowIndex ownDataCentre, TimePoint now)
{
    RoutingTable table;
    std::unordered_map<std::string_view, const FleetRow*> byName;
    for (const auto& report : reports)
        byName[report.status.vm] = &report;
    const Inventory& inventory = configuration->inventory;
    for (RowIndex vm = 0; vm < inventory.vms.size(); ++vm) {
        table.observationIndexes.push_back(vm);
        if (!mayReceiveRequests(*configuration, liveList, vm))
            continue;
        RoutingRow row;
        row.vm = vm;
        row.observationIndex = vm;
        row.service = inventory.vms[vm].service;
        row.locality = localityOf(inventory, ownDataCentre, inventory.vms[vm].dataCentre);
        auto found = byName.find(inventory.vms[vm].name);
        if (found != byName.end() && found->second->status.isLeaving)
            continue;
        if (found != byName.end())
            fillFromReport(row, *found->second, inventory, now);
        bool isPlain = inventory.services[row.service].kind == ServiceKind::Plain;
        table.rows.push_back(std::move(row));
        addToGroups(table, static_cast<uint32_t>(table.rows.size() - 1), isPlain);
    }
    table.configuration = std::move(configuration);
    table.typicalReportAt = findTypicalReportTime(table.rows);
    return table;
}

bool isSilent(TimePoint lastHeardAt, TimePoint typicalReportAt, TimePoint now)
{
    return now - lastHeardAt > minSilenceDuration + silenceFactor * (now - typicalReportAt);
}

double rampUpShare(TimePoint eligibleSince, TimePoint now)
{
    std::chrono::duration<double> since = now - eligibleSince;
    double share = since / std::chrono::duration<double>(rampUpDuration);
    return std::clamp(share, initialRampUpShare, 1.0);
}

double computeLoad(const RoutingRow& row, const EndpointObservation& observation, TimePoint now)
{
    bool isAnswerNewer = observation.statedLoad.limit > 0 && observation.statedLoad.statedAt >= row.reportedLoad.statedAt;
    const StatedLoad& hint = isAnswerNewer ? observation.statedLoad : row.reportedLoad;
    std::chrono::duration<double> age = now - hint.statedAt;
    double weight = std::clamp(1 - age / std::chrono::duration<double>(loadHintLifetime), 0.0, 1.0);
    double otherRequests = hint.inProgress > observation.inProgress ? hint.inProgress - observation.inProgress : 0;
    double capacity = std::max(1.0, std::max(1U, hint.limit) * rampUpShare(observation.eligibleSince, now));
    return (observation.inProgress + otherRequests * weight) / capacity;
}

// Inputs of one choice.
struct SelectionContext {
    const RoutingTable& table;
    const std::vector<EndpointObservation>& observations;
    const std::vector<RowIndex>& excluded;
    TimePoint now;
    bool mayUseUnready = false; ///< Whether endpoints that may be about to accept work are candidates, too.
    bool mayUseAvoided = false;
};

static const EndpointObservation& observationOf(const SelectionContext& selection, const RoutingRow& row)
{
    static const EndpointObservation none;
    return row.observationIndex < selection.observations.size() ? selection.observations[row.observationIndex] : none;
}

// Whether the endpoint is avoided because its process has just started or was paused. It is ready again soon, often long
// before it stops being avoided, and refuses at once while it isn't.
static bool isUnready(const EndpointObservation& observation)
{
    return observation.avoidedFor == RefusalReason::NoConfiguration;
}

static bool isCandidate(const SelectionContext& selection, const RoutingRow& row)
{
    const auto& excluded = selection.excluded;
    if (std::find(excluded.begin(), excluded.end(), row.vm) != excluded.end())
        return false;
    if (selection.mayUseAvoided)
        return true;
    const auto& observation = observationOf(selection, row);
    bool isAvoided = observation.avoidUntil > selection.now && !(selection.mayUseUnready && isUnready(observation));
    return row.hasFreshReport && !isAvoided;
}

// A candidate and its load; the row is null when there is none.
struct RoutingCandidate {
    const RoutingRow* row = nullptr;
    double load = 0;
};

static RoutingCandidate candidateAt(const SelectionContext& selection, uint32_t position)
{
    const RoutingRow& row = selection.table.rows[position];
    if (!isCandidate(selection, row))
        return {};
    return { &row, computeLoad(row, observationOf(selection, row), selection.now) };
}

// Returns the less loaded candidate; the second one only if its load is lower by more than the tolerance. If only one
// exists, returns that one.
static RoutingCandidate pickLessLoaded(RoutingCandidate first, RoutingCandidate second, double tolerance = 0)
{
    if (!first.row || !second.row)
        return first.row ? first : second;
    return second.load + tolerance < first.load ? second : first;
}

static RoutingCandidate scanCandidates(const SelectionContext& selection, const std::vector<uint32_t>& positions, size_t start, size_t count)
{
    RoutingCandidate best;
    for (size_t i = 0; i < std::min(count, positions.size()); ++i)
        best = pickLessLoaded(best, candidateAt(selection, positions[(start + i) % positions.size()]));
    return best;
}

static RoutingCandidate chooseInLocality(const SelectionContext& selection, const std::vector<uint32_t>& positions, uint64_t prefixHash, uint64_t random)
{
    RoutingCandidate best;
    for (int pair = 0; pair < maxCandidatePairs; ++pair) {
        size_t first = static_cast<uint32_t>(random) % positions.size();
        size_t second = (random >> 32) % positions.size();
        bool isPreferred = pair == 0 && prefixHash != 0;
        if (isPreferred)
            first = prefixHash % positions.size();
        auto chosen = pickLessLoaded(candidateAt(selection, positions[first]), candidateAt(selection, positions[second]), isPreferred ? prefixLoadTolerance : 0);
        if (chosen.row && chosen.load < 1)
            return chosen;
        best = pickLessLoaded(best, chosen);
        random = random * 0x9e3779b97f4a7c15 + 0xbf58476d1ce4e5b9;
    }
    return pickLessLoaded(best, scanCandidates(selection, positions, random % positions.size(), maxScannedCandidates));
}

static RoutingChoice toRoutingChoice(const RoutingCandidate& candidate)
{
    return { candidate.row->vm, candidate.load < 1 };
}

static RoutingChoice chooseFromGroup(const SelectionContext& selection, const RoutingGroup& group, uint64_t prefixHash, uint64_t random)
{
    RoutingCandidate nearestFull;
    for (const auto& positions : group.rows) {
        if (positions.empty())
            continue;
        auto chosen = chooseInLocality(selection, positions, prefixHash, random);
        if (chosen.row && chosen.load < 1)
            return toRoutingChoice(chosen);
        if (!nearestFull.row)
            nearestFull = chosen;
    }
    if (nearestFull.row)
        return toRoutingChoice(nearestFull);
    // Sampling found no candidate, so all of them are examined.
    for (const auto& positions : group.rows) {
        auto candidate = scanCandidates(selection, positions, 0, positions.size());
        if (candidate.row)
            return toRoutingChoice(candidate);
    }
    return {};
}

static const RoutingGroup* findGroup(const RoutingTable& table, const RoutingTarget& target)
{
    auto isWanted = [&](const RoutingGroup& group) { return group.service == target.service && group.model == target.model; };
    auto group = std::find_if(table.groups.begin(), table.groups.end(), isWanted);
    return group == table.groups.end() ? nullptr : &*group;
}

size_t countEndpoints(const RoutingTable& table, const RoutingTarget& target)
{
    const auto* group = findGroup(table, target);
    if (!group)
        return 0;
    size_t count = 0;
    for (const auto& positions : group->rows)
        count += positions.size();
    return count;
}

RoutingChoice chooseEndpoint(const RoutingTable& table, const RoutingTarget& target, const std::vector<EndpointObservation>& observations, const std::vector<RowIndex>& excluded, uint64_t random, TimePoint now)
{
    const auto* group = findGroup(table, target);
    if (!group)
        return {};
    SelectionContext selection { table, observations, excluded, now };
    auto chosen = chooseFromGroup(selection, *group, target.prefixHash, random);
    if (chosen.hasCapacity)
        return chosen;
    // After a pause of the whole fleet, the first endpoint that accepts work would otherwise get all of it. What the others
    // reported before the pause doesn't show that they have capacity.
    selection.mayUseUnready = true;
    chosen = chooseFromGroup(selection, *group, target.prefixHash, random);
    chosen.hasCapacity = false;
    if (chosen.vm != noRow || !excluded.empty())
        return chosen;
    selection.mayUseAvoided = true;
    return chooseFromGroup(selection, *group, 0, random);
}

Milliseconds avoidanceDuration(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::DataCentreOut:
    case RefusalReason::Leaving:
        return Milliseconds(1500);
    case RefusalReason::NoConfiguration:
    case RefusalReason::ConnectFailed:
    case RefusalReason::ReplyLost:
        return Milliseconds(1000);
    case RefusalReason::VersionNotReady:
        return Milliseconds(500);
    default:
        return Milliseconds(0);
    }
}

} // namespace bilberry
