#include "BurnReport.h"

#include "Refusal.h"
#include "ServiceLevel.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace bilberry {

// Service and client account.
using RowKey = std::pair<std::string, std::string>;
// Tallies of one row by the data centre of the entry.
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
    case RefusalReason::CrashedEndpoints: // The request itself brings endpoints down.
        return false;
    default:
        return true;
    }
}

double countBadRequests(const OutcomeCounts& tally)
{
    double sum = 0;
    for (const auto& [cause, count] : tally.badByCause)
        sum += count;
    return sum;
}

double computeBurnRate(const OutcomeCounts& tally, double objective)
{
    double bad = countBadRequests(tally);
    if (bad <= 0)
        return 0;
    return bad / (bad + tally.good) / (1 - objective);
}

static void addSample(OutcomeCounts& tally, const MetricSample& sample)
{
    if (sample.value <= 0)
        return;
    if (sample.name == metric::answeredRequests)
        tally.good += sample.value;
    else if (sample.name == metric::slowAnswers)
        tally.badByCause["slow"] += sample.value;
    else if (sample.name == metric::brokenStreams)
        tally.badByCause["cut"] += sample.value;
    else if (sample.name == metric::refusals) {
        auto reason = findLabel(sample.labels, "reason");
        (countsAgainstObjective(reason) ? tally.badByCause : tally.callerFaultsByReason)[reason] += sample.value;
    }
}

// Slow and cut answers were counted as answered, too; one that is both is bad once.
static void subtractBadFromGood(OutcomeCounts& tally)
{
    for (const char* cause : { "slow", "cut" }) {
        auto found = tally.badByCause.find(cause);
        if (found == tally.badByCause.end())
            continue;
        found->second = std::min(found->second, tally.good);
        tally.good -= found->second;
    }
}

static void addCounts(OutcomeCounts& sum, const OutcomeCounts& tally)
{
    sum.good += tally.good;
    for (const auto& [cause, count] : tally.badByCause)
        sum.badByCause[cause] += count;
    for (const auto& [cause, count] : tally.callerFaultsByReason)
        sum.callerFaultsByReason[cause] += count;
}

static std::map<RowKey, CountsByDataCentre> countOutcomesByRow(const BurnSnapshot& growth)
{
    std::map<RowKey, CountsByDataCentre> rows;
    for (const auto& process : growth.processes) {
        // Each process's own answers bound its own slow and cut ones.
        std::map<RowKey, OutcomeCounts> own;
        for (const auto& sample : process.samples)
            addSample(own[{ findLabel(sample.labels, "service"), findLabel(sample.labels, "caller") }], sample);
        for (auto& [key, tally] : own) {
            subtractBadFromGood(tally);
            addCounts(rows[key][process.dataCentre], tally);
        }
    }
    return rows;
}

static OutcomeCounts sumDataCentres(const CountsByDataCentre& tallies)
{
    OutcomeCounts sum;
    for (const auto& [dataCentre, tally] : tallies)
        addCounts(sum, tally);
    return sum;
}

static std::string findWorstDataCentre(const CountsByDataCentre& tallies)
{
    std::string worst;
    double worstShare = 0;
    for (const auto& [dataCentre, tally] : tallies) {
        double bad = countBadRequests(tally);
        double share = bad > 0 ? bad / (bad + tally.good) : 0;
        if (share > worstShare) {
            worst = dataCentre;
            worstShare = share;
        }
    }
    return worst;
}

static BurnLevel decideLevel(double shortBurn, double longBurn)
{
    double both = std::min(shortBurn, longBurn);
    if (both >= fastBurnRate)
        return BurnLevel::FastBurn;
    if (both > 1)
        return BurnLevel::SlowBurn;
    return longBurn > 1 ? BurnLevel::BudgetSpent : BurnLevel::WithinBudget;
}

static BurnRow makeBurnRow(const ServiceLevelRule& rule, const RowKey& key, const CountsByDataCentre& shortTallies, const CountsByDataCentre& longTallies)
{
    BurnRow row;
    row.service = key.first;
    row.caller = key.second;
    row.objective = rule.serviceLevelObjective;
    row.latencyObjective = rule.latencyObjective;
    row.shortWindow = sumDataCentres(shortTallies);
    row.longWindow = sumDataCentres(longTallies);
    row.shortBurn = computeBurnRate(row.shortWindow, rule.serviceLevelObjective);
    row.longBurn = computeBurnRate(row.longWindow, rule.serviceLevelObjective);
    row.budgetLeft = 1 - row.longBurn;
    row.level = decideLevel(row.shortBurn, row.longBurn);
    row.worstDataCentre = findWorstDataCentre(longTallies);
    return row;
}

// The largest value of one metric by one label over the processes; each of them tells of the whole fleet.
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
    double orders = 0;
    std::set<std::string> vms;
    for (const auto& process : growth.processes) {
        for (const auto& sample : process.samples) {
            bool isFetch = sample.name == metric::chunkBytes && sample.value > 0;
            bytes += isFetch ? sample.value : 0;
            orders += sample.name == metric::loadOrders ? sample.value : 0;
            if (isFetch)
                vms.insert(process.vm);
        }
    }
    if (bytes > 0 || orders > 0)
        report.annotations.push_back({ fmt::format("weights were spread in the long window: {:.0f} bytes to {} VMs, {:.0f} load orders", bytes, vms.size(), orders) });
}

BurnReport makeBurnReport(const Configuration& configuration, const BurnSnapshot& shortGrowth, const BurnSnapshot& longGrowth)
{
    BurnReport report;
    auto shortRows = countOutcomesByRow(shortGrowth);
    for (const auto& [key, tallies] : countOutcomesByRow(longGrowth)) {
        RowIndex service = findRow(configuration.inventory.services, key.first);
        OutcomeCounts sum = sumDataCentres(tallies);
        bool isEmpty = sum.good + countBadRequests(sum) <= 0 && sum.callerFaultsByReason.empty();
        if (isEmpty)
            continue;
        if (service != noRow && !key.second.empty()) {
            report.rows.push_back(makeBurnRow(configuration.rules.services[service], key, shortRows[key], tallies));
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
