#include "EndpointTable.h"

#include "EntryConfiguration.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace bilberry {

// Age up to which a load report counts in full, and the age from which it is ignored.
static constexpr Milliseconds freshLoadReportAge { 200 };
static constexpr Milliseconds staleLoadReportAge { 1000 };
// Age up to which a load report shows what entries that aren't heard have at the endpoint.
static constexpr Milliseconds provenLoadReportAge { 500 };
// Time for which an engine that refused a request because of a version switch gets no other one, unless a notice or the list
// of endpoints shows earlier that it serves again.
static constexpr Milliseconds assumedSwitchTime { 500 };
// Number of consecutive failures from which an endpoint is avoided, and the bounds of the time for which it is avoided.
static constexpr int minFailuresToAvoid = 2;
static constexpr Milliseconds shortestAvoidTime { 250 };
static constexpr Milliseconds longestAvoidTime { 4000 };
// Time for which the statement of an endpoint without a row is kept.
static constexpr Seconds unlistedStatementTime { 60 };
// Time within which entries learn of each other's requests at an endpoint.
static constexpr Milliseconds peerLoadPropagationTime { 500 };
// Age up to which the other entries are told of a work time, and the largest number of them in one report.
static constexpr Milliseconds longestReportedAge { 300 };
static constexpr size_t maxReportedWorkTimes = 64;
// Work time from which an endpoint counts as slow.
static constexpr double slowWorkTime = 1.25;

uint32_t EndpointTable::upsert(const EndpointRecord& record, TimePoint now)
{
    auto found = this->rowById.find(record.id);
    if (found == this->rowById.end()) {
        auto isFree = [](const EndpointRow& row) { return row.record.id.empty(); };
        auto free = std::find_if(this->rows.begin(), this->rows.end(), isFree);
        auto row = static_cast<uint32_t>(free - this->rows.begin());
        if (free == this->rows.end())
            this->rows.emplace_back();
        found = this->rowById.emplace(record.id, row).first;
        markPeerLoadUnknown(this->rows[row], now);
        auto unlisted = this->unlistedStatements.find(record.id);
        if (unlisted != this->unlistedStatements.end()) {
            this->rows[row].statement = unlisted->second.statement;
            this->unlistedStatements.erase(unlisted);
        }
    }
    auto& row = this->rows[found->second];
    bool wasLeaving = row.statement.isLeaving;
    if (noteRun(row.statement, record.startedAt, now))
        this->setAsideEnds.push_back({ record.id, wasLeaving ? SetAsideReason::Leaving : SetAsideReason::RetryAfter });
    // The version from a notice applies until the record in the store has reached it.
    bool hasSwitched = record.loadedLayersVersion > row.record.loadedLayersVersion;
    if (hasSwitched) {
        row.weightSwitchUntil = TimePoint();
        markPeerLoadUnknown(row, now);
    }
    uint32_t pendingVersion = row.record.loadedLayersVersion < row.record.notifiedVersion && record.loadedLayersVersion < row.record.notifiedVersion ? row.record.notifiedVersion : 0;
    row.record = record;
    row.record.notifiedVersion = pendingVersion;
    if (auto notice = this->layerNotices.find(toText(record.address)); record.isModelEngine && notice != this->layerNotices.end())
        noteNotice(row.withholding, notice->second, now);
    row.isListed = true;
    row.listedUntil = TimePoint::max();
    row.coldUntil = now + record.remainingColdTime;
    return found->second;
}

void EndpointTable::remove(const std::string& id, TimePoint until)
{
    auto found = this->rowById.find(id);
    if (found != this->rowById.end())
        this->rows[found->second].listedUntil = until;
}

std::vector<std::string> EndpointTable::removeUnusedRows(TimePoint now)
{
    std::vector<std::string> freed;
    for (auto& row : this->rows) {
        if (row.isListed && now >= row.listedUntil)
            row.isListed = false;
        bool isUnused = !row.isListed && row.inFlight == 0 && !row.record.id.empty();
        if (!isUnused)
            continue;
        this->unlistedStatements[row.record.id] = { row.statement, now + unlistedStatementTime };
        this->rowById.erase(row.record.id);
        freed.push_back(std::move(row.record.id));
        row = EndpointRow();
    }
    return freed;
}

EndpointStatement& EndpointTable::statementOf(const std::string& id, TimePoint now)
{
    auto found = this->rowById.find(id);
    if (found != this->rowById.end())
        return this->rows[found->second].statement;
    auto& unlisted = this->unlistedStatements[id];
    unlisted.expiresAt = now + unlistedStatementTime;
    return unlisted.statement;
}

// Whether the endpoint's time without requests is over and this hasn't been reported. It counts as reported afterwards.
static bool takeReturn(EndpointStatement& statement, TimePoint now)
{
    bool hasReturned = !statement.isEndReported && now >= statement.noRequestsUntil;
    statement.isEndReported = statement.isEndReported || hasReturned;
    return hasReturned;
}

std::vector<SetAsideEnd> EndpointTable::takeSetAsideEnds(TimePoint now)
{
    for (auto& row : this->rows) {
        if (takeReturn(row.statement, now))
            this->setAsideEnds.push_back({ row.record.id, SetAsideReason::RetryAfter });
    }
    for (auto unlisted = this->unlistedStatements.begin(); unlisted != this->unlistedStatements.end();) {
        auto& [id, entry] = *unlisted;
        if (takeReturn(entry.statement, now))
            this->setAsideEnds.push_back({ id, SetAsideReason::RetryAfter });
        bool hasExpired = now >= entry.expiresAt;
        if (hasExpired && (entry.statement.isLeaving || !entry.statement.isEndReported))
            this->setAsideEnds.push_back({ id, entry.statement.isLeaving ? SetAsideReason::Leaving : SetAsideReason::RetryAfter });
        unlisted = hasExpired ? this->unlistedStatements.erase(unlisted) : std::next(unlisted);
    }
    return std::exchange(this->setAsideEnds, {});
}

void keepLayerNotice(EndpointTable& table, const EngineNotice& notice)
{
    bool isOfSwitch = notice.version == 0 && notice.unusableVersion == 0;
    if (isOfSwitch)
        return;
    auto& kept = table.layerNotices[notice.address];
    if (notice.sequence > kept.sequence)
        kept = notice;
}

std::vector<EngineNotice> noticesOfUnusableLayers(const EndpointTable& table, size_t maxCount)
{
    std::vector<EngineNotice> notices;
    for (const auto& [address, notice] : table.layerNotices) {
        if (notice.unusableVersion != 0 && notices.size() < maxCount)
            notices.push_back(notice);
    }
    return notices;
}

void markPeerLoadUnknown(EndpointRow& row, TimePoint now)
{
    row.peerLoadUnknownUntil = now + peerLoadPropagationTime;
}

Milliseconds avoidTimeAfterFailures(int consecutiveFailures)
{
    if (consecutiveFailures < minFailuresToAvoid)
        return Milliseconds(0);
    int doublings = std::min(consecutiveFailures - minFailuresToAvoid, 4);
    return std::min(longestAvoidTime, shortestAvoidTime * (1 << doublings));
}

void noteOutcome(EndpointRow& row, bool isSuccess, TimePoint now)
{
    if (isSuccess) {
        row.consecutiveFailures = 0;
        row.avoidUntil = TimePoint();
        return;
    }
    ++row.consecutiveFailures;
    row.avoidUntil = std::max(row.avoidUntil, now + avoidTimeAfterFailures(row.consecutiveFailures));
}

void noteLoadReport(EndpointRow& row, const LoadReport& load, TimePoint now)
{
    auto stated = static_cast<int>(load.running + load.waiting);
    row.unknownInFlight = stated - static_cast<int>(row.inFlight + row.peersInFlight);
    row.loadReportedAt = now;
    if (load.workTimePercent && noteWorkTime(row.workRate, *load.workTimePercent, now))
        row.workRate.isToBeReported = true;
}

void noteSwitching(EndpointRow& row, TimePoint now)
{
    row.weightSwitchUntil = std::max(row.weightSwitchUntil, now + assumedSwitchTime);
}

bool hasStatedLoad(const EndpointRow& row, TimePoint now)
{
    return row.loadReportedAt != TimePoint() && now - row.loadReportedAt < provenLoadReportAge;
}

double estimatedLoad(const EndpointRow& row, TimePoint now)
{
    double known = row.inFlight + row.peersInFlight;
    auto age = now - row.loadReportedAt;
    if (age >= staleLoadReportAge)
        return known;
    double weight = 1;
    if (age > freshLoadReportAge)
        weight = std::chrono::duration<double>(staleLoadReportAge - age) / (staleLoadReportAge - freshLoadReportAge);
    return std::max<double>(row.inFlight, known + weight * row.unknownInFlight);
}

// Whether the endpoint hasn't begun to answer a request that was sent since its newest statement.
static bool isStatementAwaited(const EndpointRow& row)
{
    const auto& waiting = row.responseDelay.waitingSince;
    return std::any_of(waiting.begin(), waiting.end(), [&](TimePoint sentAt) { return sentAt >= row.workRate.statedAt; });
}

bool isWorkTimeKnown(const EndpointRow& row, TimePoint now)
{
    return isWorkTimeKnown(row.workRate, isStatementAwaited(row), now);
}

double meanWorkTime(const EndpointRow& row, TimePoint now)
{
    return meanWorkTime(row.workRate, isStatementAwaited(row), now);
}

double currentWorkTime(const EndpointRow& row, TimePoint now)
{
    return currentWorkTime(row.workRate, isStatementAwaited(row), now);
}

std::vector<WorkTimeReport> takeWorkTimes(EndpointTable& table, TimePoint now)
{
    std::vector<WorkTimeReport> reports;
    for (auto& row : table.rows) {
        auto age = std::chrono::duration_cast<Milliseconds>(now - row.workRate.statedAt);
        bool isDue = std::exchange(row.workRate.isToBeReported, false) && age <= longestReportedAge;
        if (isDue)
            reports.push_back({ endpointHash(row.record.id), static_cast<uint32_t>(std::lround(100 * row.workRate.newest)), age });
    }
    auto isNewer = [](const WorkTimeReport& first, const WorkTimeReport& second) { return first.age < second.age; };
    std::stable_sort(reports.begin(), reports.end(), isNewer);
    reports.resize(std::min(reports.size(), maxReportedWorkTimes));
    return reports;
}

void applyWorkTimes(EndpointTable& table, const std::vector<WorkTimeReport>& reports, TimePoint now)
{
    if (reports.empty())
        return;
    std::unordered_map<uint32_t, const WorkTimeReport*> reportByEndpoint;
    for (const auto& report : reports)
        reportByEndpoint[report.endpoint] = &report;
    for (auto& row : table.rows) {
        auto found = row.record.id.empty() ? reportByEndpoint.end() : reportByEndpoint.find(endpointHash(row.record.id));
        if (found == reportByEndpoint.end())
            continue;
        bool isNewest = noteWorkTime(row.workRate, found->second->percent, now - found->second->age);
        row.workRate.isToBeReported = row.workRate.isToBeReported && !isNewest;
    }
}

bool statesWorkTimes(const EndpointTable& table, const std::string& service, TimePoint now)
{
    auto statesIt = [&](const EndpointRow& row) { return isWorkTimeKnown(row, now) && row.isListed && row.record.service == service; };
    return std::any_of(table.rows.begin(), table.rows.end(), statesIt);
}

bool hasStatedWorkTimes(const EndpointTable& table, const std::string& service)
{
    auto hasStated = [&](const EndpointRow& row) { return row.workRate.statedAt != TimePoint() && row.isListed && row.record.service == service; };
    return std::any_of(table.rows.begin(), table.rows.end(), hasStated);
}

bool sharesEngines(const ServiceSettings& service, const EndpointTable& table)
{
    return service.hasRankedRoutes || hasStatedWorkTimes(table, service.name);
}

double typicalWorkTime(const EndpointTable& table, const std::string& service, TimePoint now)
{
    if (!statesWorkTimes(table, service, now))
        return 1;
    std::vector<double> workTimes;
    for (const auto& row : table.rows) {
        if (row.isListed && row.record.service == service)
            workTimes.push_back(meanWorkTime(row, now));
    }
    auto median = workTimes.begin() + static_cast<ptrdiff_t>((workTimes.size() - 1) / 2);
    std::nth_element(workTimes.begin(), median, workTimes.end());
    return *median;
}

size_t countSlowByStatement(const EndpointTable& table, TimePoint now)
{
    auto isSlowByStatement = [&](const EndpointRow& row) { return row.isListed && meanWorkTime(row, now) >= slowWorkTime; };
    return static_cast<size_t>(std::count_if(table.rows.begin(), table.rows.end(), isSlowByStatement));
}

} // namespace bilberry
