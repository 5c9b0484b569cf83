#include "DemandTable.h"

#include "FairShare.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace bilberry {

// Ages from which the report of an entry, and the sum of a data centre, no longer count.
static constexpr Milliseconds maxPeerAge { 1200 };
static constexpr Milliseconds maxDataCentreAge { 2000 };
// Time after a refusal for which there is taken to be no room for all.
static constexpr Milliseconds refusalMemory { 1000 };
// Part of the requests of a rank from which their refusals are more than chance.
static constexpr double shortRefusedPart = 0.05;
// Time between two reports to the entries of the same data centre.
static constexpr Milliseconds nearReportInterval { 100 };
// Largest number of accounts of which a report has the sender's own demand, and of all that it lists.
static constexpr size_t maxOwnAccountsPerReport = 128;
static constexpr size_t maxAccountsPerReport = 384;
// Demand of a service from which there isn't room for all, relative to what its requests use.
static constexpr double shortDemand = 1.05;

// Appends the service's accounts. Those that were known before keep their rates.
static void addService(DemandTable& table, const ServiceSettings& service, const DemandTable& former)
{
    ServiceDemandRow row;
    row.service = service.name;
    row.firstAccount = table.accounts.size();
    for (const auto& account : table.configuration->accounts) {
        auto hash = accountHash(service.name, account.name);
        const auto* known = findAccountDemand(former, hash);
        auto demand = known ? *known : AccountDemandRow();
        demand.service = service.name;
        demand.account = account.name;
        demand.hash = hash;
        demand.priority = account.priority;
        table.accounts.push_back(std::move(demand));
    }
    row.endAccount = table.accounts.size();
    auto first = table.accounts.begin() + static_cast<std::ptrdiff_t>(row.firstAccount);
    std::stable_sort(first, table.accounts.end(), [](const AccountDemandRow& one, const AccountDemandRow& other) { return one.priority < other.priority; });
    for (const auto& formerRow : former.services) {
        if (formerRow.service == service.name)
            std::tie(row.refusedAt, row.ranks) = std::tie(formerRow.refusedAt, formerRow.ranks);
    }
    table.services.push_back(std::move(row));
}

void setConfiguration(DemandTable& table, EntryConfigurationPointer configuration)
{
    auto former = table;
    table.configuration = std::move(configuration);
    table.services.clear();
    table.accounts.clear();
    table.accountByHash.clear();
    if (!table.configuration)
        return;
    for (const auto& service : table.configuration->services) {
        if (service.hasRankedRoutes)
            addService(table, service, former);
    }
    for (size_t i = 0; i < table.accounts.size(); ++i)
        table.accountByHash[table.accounts[i].hash] = i;
}

const AccountDemandRow* findAccountDemand(const DemandTable& table, uint32_t hash)
{
    auto found = table.accountByHash.find(hash);
    return found == table.accountByHash.end() ? nullptr : &table.accounts[found->second];
}

AccountDemandRow* findAccountDemand(DemandTable& table, uint32_t hash)
{
    auto found = table.accountByHash.find(hash);
    return found == table.accountByHash.end() ? nullptr : &table.accounts[found->second];
}

const ServiceDemandRow* findServiceDemand(const DemandTable& table, const std::string& service)
{
    auto found = std::find_if(table.services.begin(), table.services.end(), [&](const ServiceDemandRow& row) { return row.service == service; });
    return found == table.services.end() ? nullptr : &*found;
}

ServiceDemandRow* findServiceDemand(DemandTable& table, const std::string& service)
{
    auto found = std::find_if(table.services.begin(), table.services.end(), [&](const ServiceDemandRow& row) { return row.service == service; });
    return found == table.services.end() ? nullptr : &*found;
}

static void removeOldReports(DemandTable& table, TimePoint now)
{
    for (auto row = table.peers.begin(); row != table.peers.end();)
        row = now - row->second.receivedAt >= maxPeerAge ? table.peers.erase(row) : std::next(row);
    for (auto row = table.dataCentres.begin(); row != table.dataCentres.end();)
        row = now - row->second.madeAt >= maxDataCentreAge ? table.dataCentres.erase(row) : std::next(row);
}

static void addToFleet(DemandTable& table, const std::vector<AccountUse>& accounts)
{
    for (const auto& use : accounts) {
        auto* row = findAccountDemand(table, use.account);
        if (!row)
            continue;
        row->fleetAsked += use.askedTime;
        row->fleetUsed += use.engineTime;
    }
}

static void addUpFleet(DemandTable& table, TimePoint now)
{
    for (auto& row : table.accounts) {
        row.fleetAsked = rateAt(row.asked, now);
        row.fleetUsed = rateAt(row.used, now);
    }
    for (const auto& [ip, peer] : table.peers)
        addToFleet(table, peer.accounts);
    for (const auto& [name, dataCentre] : table.dataCentres)
        addToFleet(table, dataCentre.accounts);
}

// Divides what accounts of the same service and priority, which are at these positions, use together.
static void divideAmong(DemandTable& table, size_t first, size_t end, bool isRoomForAll)
{
    std::vector<AccountDemand> demands;
    for (size_t i = first; i < end; ++i)
        demands.push_back({ 1, table.accounts[i].fleetAsked, table.accounts[i].fleetUsed });
    auto shares = fairShares(demands);
    for (size_t i = first; i < end; ++i) {
        auto& row = table.accounts[i];
        row.share = shares[i - first];
        row.isBeyondShare = !isRoomForAll && isBeyondShare(row.fleetUsed, row.share, row.isBeyondShare);
    }
}

static RankDemandRow& rankRow(ServiceDemandRow& service, const RequestRank& rank)
{
    auto row = std::find_if(service.ranks.begin(), service.ranks.end(), [&](const RankDemandRow& known) { return known.rank == rank; });
    if (row == service.ranks.end()) {
        row = service.ranks.emplace(row);
        row->rank = rank;
    }
    return *row;
}

void noteAsked(DemandTable& table, AccountDemandRow& account, const CountedRequest& request, TimePoint now)
{
    addToRate(account.asked, request.engineTime.count(), now);
    if (auto* service = findServiceDemand(table, account.service))
        addToRate(rankRow(*service, request.rank).asked, request.engineTime.count(), now);
}

void noteRefused(DemandTable& table, const AccountDemandRow& account, const CountedRequest& request, TimePoint now)
{
    auto* service = findServiceDemand(table, account.service);
    if (!service)
        return;
    service->refusedAt = now;
    addToRate(rankRow(*service, request.rank).refused, request.engineTime.count(), now);
}

bool givesWay(const DemandTable& table, const AccountDemandRow& account, const RequestRank& rank)
{
    const auto* service = account.isBeyondShare ? findServiceDemand(table, account.service) : nullptr;
    if (!service)
        return false;
    return std::any_of(service->ranks.begin(), service->ranks.end(), [&](const RankDemandRow& row) { return row.isShort && !(rank < row.rank); });
}

// Whether no request waits for the service at this entry, and none was refused lately since there was no room for it.
static bool hasRoom(const ServiceDemandRow& service, TimePoint now)
{
    bool hasRefused = service.refusedAt != TimePoint() && now - service.refusedAt < refusalMemory;
    return !service.isWaiting && !hasRefused;
}

static void updateService(DemandTable& table, ServiceDemandRow& service, TimePoint now)
{
    double asked = 0;
    double used = 0;
    for (size_t i = service.firstAccount; i < service.endAccount; ++i) {
        asked += table.accounts[i].fleetAsked;
        used += table.accounts[i].fleetUsed;
    }
    for (auto& row : service.ranks)
        row.isShort = rateAt(row.refused, now) > shortRefusedPart * rateAt(row.asked, now);
    service.isShort = !hasRoom(service, now) || asked > shortDemand * used;
    for (size_t first = service.firstAccount; first < service.endAccount;) {
        size_t end = first;
        while (end < service.endAccount && table.accounts[end].priority == table.accounts[first].priority)
            ++end;
        divideAmong(table, first, end, hasRoom(service, now));
        first = end;
    }
    service.beyondCount = 0;
    for (size_t i = service.firstAccount; i < service.endAccount; ++i)
        service.beyondCount += table.accounts[i].isBeyondShare ? 1 : 0;
}

static void noteRoomForAll(DemandTable& table, ServiceDemandRow& service)
{
    for (size_t i = service.firstAccount; i < service.endAccount && service.beyondCount > 0; ++i)
        table.accounts[i].isBeyondShare = false;
    service.isShort = false;
    service.beyondCount = 0;
}

void updateShares(DemandTable& table, TimePoint now)
{
    removeOldReports(table, now);
    bool isHeard = !table.peers.empty() || !table.dataCentres.empty();
    bool isCalm = !isHeard && std::all_of(table.services.begin(), table.services.end(), [&](const ServiceDemandRow& service) { return hasRoom(service, now); });
    if (!isCalm)
        addUpFleet(table, now);
    for (auto& service : table.services) {
        if (isCalm)
            noteRoomForAll(table, service);
        else
            updateService(table, service, now);
    }
}

// Returns for each account whether its service is short of room.
static std::vector<bool> findShortAccounts(const DemandTable& table)
{
    std::vector<bool> areShort(table.accounts.size());
    for (const auto& service : table.services) {
        for (size_t i = service.firstAccount; i < service.endAccount; ++i)
            areShort[i] = service.isShort;
    }
    return areShort;
}

// Keeps the accounts that ask for most.
static void limitAccounts(std::vector<AccountUse>& accounts, size_t maxCount)
{
    if (accounts.size() <= maxCount)
        return;
    std::sort(accounts.begin(), accounts.end(), [](const AccountUse& first, const AccountUse& second) {
        return std::tie(first.askedTime, first.engineTime, first.account) > std::tie(second.askedTime, second.engineTime, second.account);
    });
    accounts.resize(maxCount);
}

static uint32_t toReported(double rate)
{
    constexpr double largest = std::numeric_limits<uint32_t>::max();
    return static_cast<uint32_t>(std::min(rate + 0.5, largest));
}

// Lists the demand of services that are short of room: the own one and, if asked for, that of the other entries of this data centre.
static std::vector<AccountUse> listDemand(const DemandTable& table, bool includesPeers, TimePoint now)
{
    std::vector<AccountDemand> sums;
    for (const auto& row : table.accounts)
        sums.push_back({ 1, rateAt(row.asked, now), rateAt(row.used, now) });
    for (const auto& [ip, peer] : table.peers) {
        for (const auto& use : peer.accounts) {
            auto found = table.accountByHash.find(use.account);
            if (!includesPeers || found == table.accountByHash.end())
                continue;
            sums[found->second].asked += use.askedTime;
            sums[found->second].used += use.engineTime;
        }
    }
    std::vector<AccountUse> list;
    auto areShort = findShortAccounts(table);
    for (size_t i = 0; i < sums.size(); ++i) {
        AccountUse use { table.accounts[i].hash, toReported(sums[i].used), toReported(sums[i].asked) };
        if (areShort[i] && (use.engineTime > 0 || use.askedTime > 0))
            list.push_back(use);
    }
    limitAccounts(list, maxOwnAccountsPerReport);
    return list;
}

// Adds sums that came directly from other data centres, as far as the report has room for them; others follow in the next one.
static void passOnDataCentres(DemandTable& table, DemandReport& report, TimePoint now)
{
    size_t listed = report.accounts.size();
    for (auto& [name, row] : table.dataCentres) {
        bool isTooLong = listed + row.accounts.size() > maxAccountsPerReport;
        if (!row.isToBePassedOn || isTooLong)
            continue;
        row.isToBePassedOn = false;
        listed += row.accounts.size();
        report.otherDataCentres.push_back({ name, std::chrono::duration_cast<Milliseconds>(now - row.madeAt), row.accounts });
    }
}

DemandReport makeDemandReport(DemandTable& table, PeerMessageScope scope, TimePoint now)
{
    DemandReport report;
    report.dataCentre = table.ownDataCentre;
    if (scope == PeerMessageScope::Remote) {
        auto sum = listDemand(table, true, now);
        if (!sum.empty())
            report.otherDataCentres.push_back({ table.ownDataCentre, Milliseconds(0), std::move(sum) });
    }
    bool isDue = scope == PeerMessageScope::Near && now - table.reportedAt >= nearReportInterval;
    if (isDue) {
        table.reportedAt = now;
        report.accounts = listDemand(table, false, now);
        passOnDataCentres(table, report, now);
    }
    return report;
}

static void applyDataCentre(DemandTable& table, const DataCentreUse& use, bool isDirect, TimePoint now)
{
    auto madeAt = now - use.age;
    auto& row = table.dataCentres[use.dataCentre];
    if (madeAt <= row.madeAt)
        return;
    row.madeAt = madeAt;
    row.isToBePassedOn = isDirect;
    row.accounts = use.accounts;
    limitAccounts(row.accounts, maxOwnAccountsPerReport);
}

void applyDemandReport(DemandTable& table, const std::string& ip, const DemandReport& report, TimePoint now)
{
    if (table.accounts.empty())
        return;
    bool isNear = report.dataCentre == table.ownDataCentre;
    if (isNear && !report.accounts.empty())
        table.peers[ip] = { report.accounts, now };
    for (const auto& use : report.otherDataCentres) {
        if (use.dataCentre != table.ownDataCentre && use.age < maxDataCentreAge)
            applyDataCentre(table, use, use.dataCentre == report.dataCentre, now);
    }
}

} // namespace bilberry
