#include "BurnReport.h"

#include "Refusal.h"
#include "ServiceLevel.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace bilberry {

// The service and the client account of a row.
using RowKey = std::pair<std::string, std::string>;
// The counts of one row; the key is the data centre of the entry.
using CountsByDataCentre = std::map<std::string, OutcomeCounts>;

bool countsAgainstObjective(std::string_view reason)
{
    auto known = parseRefusalReason(reason);
    if (!known)
        return true;
    switch (*known) {
    case RefusalReason::UnknownService:
    case RefusalReason::UnknownCaller:
    case RefusalReason::BadRequest:
    case RefusalReason::Unauthorized:
    case RefusalReason::TooLarge:
    case RefusalReason::CrashedEndpoints: // The request itself crashes endpoints.
        return false;
    default:
        return true;
    }
}

double countBadRequests(const OutcomeCounts& counts)
{
    double sum = 0;
    for (const auto& [cause, count] : counts.badByCause)
        sum += count;
    return sum;
}

double computeBurnRate(const OutcomeCounts& counts, double objective)
{
    double bad = countBadRequests(counts);
    if (bad <= 0)
        return 0;
    return bad / (bad + counts.good) / (1 - objective);
}

static void addSample(OutcomeCounts& counts, const MetricSample& sample)
{
    if (sample.value <= 0)
        return;
    if (sample.name == metric::answeredRequests)
        counts.good += sample.value;
    else if (sample.name == metric::slowAnswers)
        counts.badByCause["slow"] += sample.value;
    else if (sample.name == metric::brokenStreams)
        counts.badByCause["cut"] += sample.value;
    else if (sample.name == metric::refusals) {
        auto reason = findLabel(sample.labels, "reason");
        (countsAgainstObjective(reason) ? counts.badByCause : counts.callerFaultsByReason)[reason] += sample.value;
    }
}

// Slow answers and broken streams are counted as answered, too, so they are taken off the good ones. An answer that is both slow
// and broken counts as bad once, which the bound by the remaining good ones ensures.
static void subtractBadFromGood(OutcomeCounts& counts)
{
    for (const char* cause : { "slow", "cut" }) {
        auto found = counts.badByCause.find(cause);
        if (found == counts.badByCause.end())
            continue;
        found->second = std::min(found->second, counts.good);
        counts.good -= found->second;
    }
}

static void addCounts(OutcomeCounts& sum, const OutcomeCounts& counts)
{
    sum.good += counts.good;
    for (const auto& [cause, count] : counts.badByCause)
        sum.badByCause[cause] += count;
    for (const auto& [cause, count] : counts.callerFaultsByReason)
        sum.callerFaultsByReason[cause] += count;
}

static std::map<RowKey, CountsByDataCentre> countOutcomesByRow(const BurnSnapshot& growth)
{
    std::map<RowKey, CountsByDataCentre> rows;
    for (const auto& process : growth.processes) {
        // The answers of a process bound its slow and broken ones, so the correction is made per process.
        std::map<RowKey, OutcomeCounts> processRows;
        for (const auto& sample : process.samples)
            addSample(processRows[{ findLabel(sample.labels, "service"), findLabel(sample.labels, "caller") }], sample);
        for (auto& [key, counts] : processRows) {
            subtractBadFromGood(counts);
            addCounts(rows[key][process.dataCentre], counts);
        }
    }
    return rows;
}

static OutcomeCounts sumDataCentres(const CountsByDataCentre& countsByDataCentre)
{
    OutcomeCounts sum;
    for (const auto& [dataCentre, counts] : countsByDataCentre)
        addCounts(sum, counts);
    return sum;
}

static std::string findWorstDataCentre(const CountsByDataCentre& countsByDataCentre)
{
    std::string worst;
    double worstShare = 0;
    for (const auto& [dataCentre, counts] : countsByDataCentre) {
        double bad = countBadRequests(counts);
        double share = bad > 0 ? bad / (bad + counts.good) : 0;
        if (share > worstShare) {
            worst = dataCentre;
            worstShare = share;
        }
    }
    return worst;
}

static BurnLevel decideLevel(double shortBurn, double longBurn)
{
    double lowerBurn = std::min(shortBurn, longBurn);
    if (lowerBurn >= fastBurnRate)
        return BurnLevel::FastBurn;
    if (lowerBurn > 1)
        return BurnLevel::SlowBurn;
    return longBurn > 1 ? BurnLevel::BudgetSpent : BurnLevel::WithinBudget;
}

static BurnRow makeBurnRow(const ServiceLevelRule& rule, const RowKey& key, const CountsByDataCentre& shortCounts, const CountsByDataCentre& longCounts)
{
    BurnRow row;
    row.service = key.first;
    row.caller = key.second;
    row.objective = rule.serviceLevelObjective;
    row.latencyObjective = rule.latencyObjective;
    row.shortWindow = sumDataCentres(shortCounts);
    row.longWindow = sumDataCentres(longCounts);
    row.shortBurn = computeBurnRate(row.shortWindow, rule.serviceLevelObjective);
    row.longBurn = computeBurnRate(row.longWindow, rule.serviceLevelObjective);
    row.budgetLeft = 1 - row.longBurn;
    row.level = decideLevel(row.shortBurn, row.longBurn);
    row.worstDataCentre = findWorstDataCentre(longCounts);
    return row;
}

// The largest value of a metric over the processes, by the value of one label. Each process reports on the whole fleet, so that
// a sum would count one event several times.
static std::map<std::string, double> maxValueByLabel(const BurnSnapshot& growth, const char* name, const char* label)
{
    std::map<std::string, double> values;
    for (const auto& process : growth.processes) {
        for (const auto& sample : process.samples) {
            if (sample.name == name)
                values[findLabel(sample.labels, label)] = std::max(values[findLabel(sample.labels, label)], sample.value);
        }
    }
    return values;
}

static void addDataCentreAnnotations(const BurnSnapshot& growth, BurnReport& report)
{
    auto changes = maxValueByLabel(growth, metric::dataCentreChanges, "data_centre");
    for (const auto& [dataCentre, out] : maxValueByLabel(growth, metric::dataCentreOut, "data_centre")) {
        if (out > 0)
            report.annotations.push_back({ fmt::format("data centre {} is out of service", dataCentre) });
        if (changes[dataCentre] > 0)
            report.annotations.push_back({ fmt::format("data centre {} was taken out or returned {:.0f} times in the long window", dataCentre, changes[dataCentre]) });
    }
}

static void addDistributionAnnotation(const BurnSnapshot& growth, BurnReport& report)
{
    double bytes = 0;
    double loadOrderCount = 0;
    std::set<std::string> vms;
    for (const auto& process : growth.processes) {
        for (const auto& sample : process.samples) {
            bool isFetch = sample.name == metric::chunkBytes && sample.value > 0;
            bytes += isFetch ? sample.value : 0;
            loadOrderCount += sample.name == metric::loadOrders ? sample.value : 0;
            if (isFetch)
                vms.insert(process.vm);
        }
    }
    if (bytes > 0 || loadOrderCount > 0)
        report.annotations.push_back({ fmt::format("weights were distributed in the long window: {:.0f} bytes to {} VMs, {:.0f} load orders", bytes, vms.size(), loadOrderCount) });
}

BurnReport makeBurnReport(const Configuration& configuration, const BurnSnapshot& shortGrowth, const BurnSnapshot& longGrowth)
{
    BurnReport report;
    auto shortRows = countOutcomesByRow(shortGrowth);
    for (const auto& [key, longCounts] : countOutcomesByRow(longGrowth)) {
        RowIndex service = findRow(configuration.inventory.services, key.first);
        OutcomeCounts sum = sumDataCentres(longCounts);
        bool isEmpty = sum.good + countBadRequests(sum) <= 0 && sum.callerFaultsByReason.empty();
        if (isEmpty)
            continue;
        if (service != noRow && !key.second.empty()) {
            report.rows.push_back(makeBurnRow(configuration.rules.services[service], key, shortRows[key], longCounts));
            continue;
        }
        for (const auto* causes : { &sum.badByCause, &sum.callerFaultsByReason }) {
            for (const auto& [cause, count] : *causes)
                report.unattributedRefusals[cause] += count;
        }
    }
    addDataCentreAnnotations(longGrowth, report);
    addDistributionAnnotation(longGrowth, report);
    return report;
}

} // namespace bilberry
