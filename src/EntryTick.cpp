/// The part of EntryNode that runs on its timer, sends requests that wait, and stops the entry.

#include "EntryNode.h"

#include "EntryCrashes.h"
#include "EntryDemand.h"
#include "EntryStatements.h"
#include "ProxiedRequest.h"
#include "RefusalDelays.h"
#include "StoreEra.h"
#include "SwitchDrain.h"

namespace bilberry {

// Time between two runs of the periodic tasks.
static constexpr Milliseconds tickInterval { 20 };
// Longest time between two updates of the peers' loads in the table of endpoints.
static constexpr Milliseconds peerLoadsInterval { 200 };

// Removes events that have been sent to the peers for long enough, and expired crash and refusal records.
static void removeExpiredReports(EntryNode& node, TimePoint now)
{
    node.peerReports.removeExpired(now);
    node.crashes.removeExpired(now);
    removeExpiredSuspects(node.promptSuspects, now);
    node.refusals.removeExpired(now);
    node.ownRefusals.removeExpired(now);
}

void dispatchWaitingRequests(EntryNode& node, const std::string& service)
{
    auto queue = node.queues.find(service);
    if (queue == node.queues.end())
        return;
    auto now = Clock::now();
    // The list is copied, since requests are removed from the queue when they are dispatched.
    auto waiting = queue->second.waiting;
    for (const auto& waitingRequest : waiting) {
        auto active = node.activeRequests.find(waitingRequest.requestNumber);
        if (active == node.activeRequests.end()) {
            removeWaitingRequest(queue->second, waitingRequest.requestNumber);
            continue;
        }
        auto request = active->second;
        bool isDispatched = request->tryDispatch(now);
        bool isHopeless = !isDispatched && request->areAllSetAsideUntil(waitingRequest.expiresAt, now);
        if (isDispatched || isHopeless)
            removeWaitingRequest(queue->second, waitingRequest.requestNumber);
        if (isHopeless)
            request->handleQueueTimeout();
    }
}

static void handleQueueTimeouts(EntryNode& node, TimePoint now)
{
    for (auto& [service, queue] : node.queues) {
        for (const auto& expired : takeExpiredRequests(queue, now)) {
            auto active = node.activeRequests.find(expired.requestNumber);
            if (active == node.activeRequests.end())
                continue;
            auto request = active->second;
            request->handleQueueTimeout();
        }
    }
}

static void checkRequestTimeouts(EntryNode& node, TimePoint now)
{
    std::vector<std::shared_ptr<ProxiedRequest>> requests;
    requests.reserve(node.activeRequests.size());
    for (const auto& [number, request] : node.activeRequests)
        requests.push_back(request);
    for (const auto& request : requests)
        request->checkTimeouts(now);
}

void EntryNode::scheduleTick()
{
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait([this](const boost::system::error_code& error) {
        if (hasFired(this->tickTimer, error))
            this->tick();
    });
}

// Plans the switches of the services whose engines are divided among the entries.
static void planAllSwitches(EntryNode& node)
{
    auto routes = node.clusterView.routes;
    if (!routes)
        return;
    for (const auto& service : routes->services) {
        if (sharesEngines(service, node.clusterView.endpoints))
            planSwitches(node.clusterView, service.name, node.settings.reloadable.maxVersionSwitchTime);
    }
}

void EntryNode::tick()
{
    auto now = Clock::now();
    noteTick(this->distances, now);
    for (const auto& endpointId : this->clusterView.endpoints.removeUnusedRows(now))
        this->channels.closeIdleChannels(endpointId);
    logSetAsideEnds(*this, now);
    // Each message updates the loads, so that here only those of peers that have fallen silent need to go.
    if (now - this->peerLoadsUpdatedAt >= peerLoadsInterval)
        this->updatePeerLoads(now);
    this->reportSlowEngines(now);
    planAllSwitches(*this);
    this->chooseStoreReading(now);
    this->requestStoreDelta(now);
    this->answerDueSummaryRequests(now);
    this->storeReplica.removeExpiredTombstones(now);
    if (expireEraHold(this->clusterView, now))
        this->storeReplica.removeEarlierEras(this->adapter.store.configurationKey, this->adapter.store.versionPrefix);
    this->dispatchRequestsAwaitingConfiguration(now);
    removeExpiredReports(*this, now);
    updateDemand(*this, now);
    checkRequestTimeouts(*this, now);
    for (const auto& [service, queue] : this->queues)
        dispatchWaitingRequests(*this, service);
    handleQueueTimeouts(*this, now);
    if (this->settings.peerPort != 0)
        this->peers.tick(this->hasChangesForPeers, now);
    this->stopWhenDone(now);
    this->scheduleTick();
}

void EntryNode::beginStop()
{
    if (this->stopRequestedAt != TimePoint::max())
        return;
    this->stopRequestedAt = Clock::now();
    this->stopSchedule = makeStopSchedule(this->stopRequestedAt, this->settings.reloadable.stopGracePeriod);
    this->callerServer.startDraining();
    this->log.write(LogLevel::Info, "stopping", { { "in_progress", static_cast<uint64_t>(this->activeRequests.size()) } });
}

void EntryNode::stopWhenDone(TimePoint now)
{
    if (now < this->stopSchedule.takesRequestsUntil)
        return;
    this->callerServer.stopAccepting();
    this->callerServer.closeIdleConnections();
    if (now >= this->stopSchedule.answersDueAt)
        this->callerServer.refuseUnreadRequests(503, retryAfterHeaders(stoppingRetryAfter));
    bool isDone = this->activeRequests.empty() && this->callerServer.connectionCount() == 0;
    if (!isDone && now < this->stopSchedule.exitAt)
        return;
    this->log.write(LogLevel::Info, "stopped", { { "cut_off", static_cast<uint64_t>(this->activeRequests.size()) } });
    this->callerServer.closeConnections();
    this->loop.stop();
}

} // namespace bilberry
