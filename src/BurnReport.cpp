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
using TalliesByDataCentre = std::map<std::string, BurnTally>;

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

double sumBad(const BurnTally& tally)
{
    double sum = 0;
    for (const auto& [cause, count] : tally.bad)
        sum += count;
    return sum;
}

double burnRate(const BurnTally& tally, double objective)
{
    double bad = sumBad(tally);
    if (bad <= 0)
        return 0;
    return bad / (bad + tally.good) / (1 - objective);
}

static void addSample(BurnTally& tally, const MetricSample& sample)
{
    if (sample.value <= 0)
        return;
    if (sample.name == metric::answered)
        tally.good += sample.value;
    else if (sample.name == metric::slow)
        tally.bad["slow"] += sample.value;
    else if (sample.name == metric::cut)
        tally.bad["cut"] += sample.value;
    else if (sample.name == metric::refused) {
        auto reason = findLabel(sample.labels, "reason");
        (countsAgainstObjective(reason) ? tally.bad : tally.callerFaults)[reason] += sample.value;
    }
}

// Slow and cut answers were counted as answered, too; one that is both is bad once.
static void takeBadFromGood(BurnTally& tally)
{
    for (const char* cause : { "slow", "cut" }) {
        auto found = tally.bad.find(cause);
        if (found == tally.bad.end())
            continue;
        found->second = std::min(found->second, tally.good);
        tally.good -= found->second;
    }
}

static void addTally(BurnTally& sum, const BurnTally& tally)
{
    sum.good += tally.good;
    for (const auto& [cause, count] : tally.bad)
        sum.bad[cause] += count;
    for (const auto& [cause, count] : tally.callerFaults)
        sum.callerFaults[cause] += count;
}

static std::map<RowKey, TalliesByDataCentre> tallyRows(const BurnSnapshot& growth)
{
    std::map<RowKey, TalliesByDataCentre> rows;
    for (const auto& process : growth.processes) {
        // Each process's own answers bound its own slow and cut ones.
        std::map<RowKey, BurnTally> own;
        for (const auto& sample : process.samples)
            addSample(own[{ findLabel(sample.labels, "service"), findLabel(sample.labels, "caller") }], sample);
        for (auto& [key, tally] : own) {
            takeBadFromGood(tally);
            addTally(rows[key][process.dataCentre], tally);
        }
    }
    return rows;
}

static BurnTally sumDataCentres(const TalliesByDataCentre& tallies)
{
    BurnTally sum;
    for (const auto& [dataCentre, tally] : tallies)
        addTally(sum, tally);
    return sum;
}

static std::string findWorst(const TalliesByDataCentre& tallies)
{
    std::string worst;
    double worstShare = 0;
    for (const auto& [dataCentre, tally] : tallies) {
        double bad = sumBad(tally);
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
        return BurnLevel::Fast;
    if (both > 1)
        return BurnLevel::Slow;
    return longBurn > 1 ? BurnLevel::Spent : BurnLevel::Within;
}

static BurnRow makeRow(const ServiceRule& rule, const RowKey& key, const TalliesByDataCentre& shortTallies, const TalliesByDataCentre& longTallies)
{
    BurnRow row;
    row.service = key.first;
    row.caller = key.second;
    row.objective = rule.objective;
    row.latencyObjective = rule.latencyObjective;
    row.shortWindow = sumDataCentres(shortTallies);
    row.longWindow = sumDataCentres(longTallies);
    row.shortBurn = burnRate(row.shortWindow, rule.objective);
    row.longBurn = burnRate(row.longWindow, rule.objective);
    row.budgetLeft = 1 - row.longBurn;
    row.level = decideLevel(row.shortBurn, row.longBurn);
    row.worstDataCentre = findWorst(longTallies);
    return row;
}

// The largest value of one metric by one label over the processes; each of them tells of the whole fleet.
static std::map<std::string, double> largestByLabel(const BurnSnapshot& growth, const char* name, const char* label)
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

static void addDataCentreMarks(const BurnSnapshot& growth, BurnReport& report)
{
    auto changes = largestByLabel(growth, metric::dataCentreChanges, "data_centre");
    for (const auto& [dataCentre, out] : largestByLabel(growth, metric::dataCentreOut, "data_centre")) {
        if (out > 0)
            report.marks.push_back({ fmt::format("data centre {} is out of service", dataCentre) });
        if (changes[dataCentre] > 0)
            report.marks.push_back({ fmt::format("data centre {} was taken out or returned {:.0f} times in the long window", dataCentre, changes[dataCentre]) });
    }
}

static void addSpreadMark(const BurnSnapshot& growth, BurnReport& report)
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
        report.marks.push_back({ fmt::format("weights were spread in the long window: {:.0f} bytes to {} VMs, {:.0f} load orders", bytes, vms.size(), orders) });
}

BurnReport makeBurnReport(const Configuration& configuration, const BurnSnapshot& shortGrowth, const BurnSnapshot& longGrowth)
{
    BurnReport report;
    auto shortRows = tallyRows(shortGrowth);
    for (const auto& [key, tallies] : tallyRows(longGrowth)) {
        RowIndex service = findRow(configuration.inventory.services, key.first);
        BurnTally sum = sumDataCentres(tallies);
        bool isEmpty = sum.good + sumBad(sum) <= 0 && sum.callerFaults.empty();
        if (isEmpty)
            continue;
        if (service != noRow && !key.second.empty()) {
            report.rows.push_back(makeRow(configuration.rules.services[service], key, shortRows[key], tallies));
            continue;
        }
        for (const auto* causes : { &sum.bad, &sum.callerFaults }) {
            for (const auto& [cause, count] : *causes)
                report.unattributed[cause] += count;
        }
    }
    addDataCentreMarks(longGrowth, report);
    addSpreadMark(longGrowth, report);
    return report;
}

} // namespace bilberry
