#include "EntryDemand.h"

#include "EntryNode.h"
#include "FairShare.h"

#include <algorithm>

namespace bilberry {

// Time between two log lines on any account, and on the same one.
static constexpr Milliseconds logInterval { 100 };
static constexpr Milliseconds accountLogInterval { 2000 };

uint32_t expectedAnswerTokens(const CallerRequest& request, const EnginePerformance& engine)
{
    uint32_t expected = request.estimatedAnswerTokens;
    if (expected == 0)
        expected = static_cast<uint32_t>(engine.typicalAnswerTokens);
    return request.maxAnswerTokens > 0 ? std::min(expected, request.maxAnswerTokens) : expected;
}

RequestDemand noteArrivedDemand(EntryNode& node, const ArrivedRequest& arrived, TimePoint now)
{
    bool isCounted = arrived.service && arrived.service->hasRankedRoutes && arrived.account;
    if (!isCounted)
        return {};
    const auto& request = arrived.callerRequest;
    const EnginePerformance* engine = arrived.service->engine ? &*arrived.service->engine : nullptr;
    RequestDemand demand;
    demand.isCounted = true;
    demand.account = accountHash(arrived.service->name, arrived.account->name);
    demand.request.rank = arrived.rank;
    demand.request.engineTime = expectedEngineTime(engine, request.promptTokens, engine ? expectedAnswerTokens(request, *engine) : 0);
    auto* row = findAccountDemand(node.demand, demand.account);
    if (row && !arrived.wasRefusedBefore)
        noteAsked(node.demand, *row, demand.request, now);
    return demand;
}

void noteDispatchedDemand(EntryNode& node, const RequestDemand& demand, TimePoint now)
{
    auto* row = demand.isCounted ? findAccountDemand(node.demand, demand.account) : nullptr;
    if (row)
        addToRate(row->used, demand.request.engineTime.count(), now);
}

void noteRefusedDemand(EntryNode& node, const RequestDemand& demand, std::string_view reason, TimePoint now)
{
    bool isForLackOfRoom = reason != "stopping" && reason != "crashes_endpoints";
    auto* row = demand.isCounted && isForLackOfRoom ? findAccountDemand(node.demand, demand.account) : nullptr;
    if (!row)
        return;
    noteRefused(node.demand, *row, demand.request, now);
    if (isAccountBeyondShare(node, demand))
        node.metrics.addToCounter("bilberry_refusals_beyond_share_total", { { "service", row->service } });
}

bool isAccountBeyondShare(const EntryNode& node, const RequestDemand& demand)
{
    const auto* row = demand.isCounted ? findAccountDemand(node.demand, demand.account) : nullptr;
    return row && givesWay(node.demand, *row, demand.request.rank);
}

// Logs one account that is beyond its share, or within it again, and of which the log doesn't tell so yet.
static void logChange(EntryNode& node, TimePoint now)
{
    auto& table = node.demand;
    if (now - table.loggedAt < logInterval)
        return;
    auto isDue = [&](const AccountDemandRow& row) { return row.isBeyondShare != row.isLoggedBeyond && now - row.loggedAt >= accountLogInterval; };
    auto row = std::find_if(table.accounts.begin(), table.accounts.end(), isDue);
    if (row == table.accounts.end())
        return;
    table.loggedAt = now;
    row->loggedAt = now;
    row->isLoggedBeyond = row->isBeyondShare;
    node.log.write(LogLevel::Info, row->isBeyondShare ? "account_beyond_share" : "account_within_share", { { "service", row->service }, { "account", row->account }, { "asked_ms_per_s", row->fleetAsked }, { "used_ms_per_s", row->fleetUsed }, { "share_ms_per_s", row->share } });
}

void updateDemand(EntryNode& node, TimePoint now)
{
    auto& table = node.demand;
    if (table.configuration != node.clusterView.routes) {
        table.ownDataCentre = node.settings.location.dataCentre;
        setConfiguration(table, node.clusterView.routes);
    }
    for (auto& service : table.services) {
        auto queue = node.queues.find(service.service);
        service.isWaiting = queue != node.queues.end() && !queue->second.waiting.empty();
    }
    updateShares(table, now);
    logChange(node, now);
}

void updateDemandMetrics(EntryNode& node)
{
    for (const auto& service : node.demand.services)
        node.metrics.setGauge("bilberry_accounts_beyond_share", service.beyondCount, { { "service", service.service } });
}

} // namespace bilberry
