#include "EntryNode.h"

#include "EntryCrashes.h"
#include "EntryDemand.h"
#include "EntryExplain.h"
#include "ProcessMetrics.h"
#include "ProxiedRequest.h"
#include "ServerExchange.h"
#include "StoreEra.h"
#include "ViewUpdate.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bilberry {

// Time after the start within which the configuration isn't used before a peer was heard from.
static constexpr Milliseconds peerWaitAfterStart { 500 };
// Time limits of connections to endpoints.
static constexpr ChannelTimeouts endpointTimes { Milliseconds(600), Milliseconds(1500) };
// Longest time for which the store may hold one call; bounds the age of the cluster view while the store answers.
static constexpr Milliseconds storeLongPollWait { 1000 };
// Pause between two calls to the store. It lets one call return several changes, since all entries share the store's rate
// limit.
static constexpr Milliseconds storePause { 150 };
// Requests with keys are admitted while the age of the cluster view is below this fraction of the bound on revocations.
static constexpr double maxAgeFractionToAdmit = 0.85;
// The entry reports that it is ready while the age of the cluster view is below this fraction of the bound on revocations.
static constexpr double maxAgeFractionToBeReady = 0.6;
// Least number of entries that are assumed to share the fleet's budgets, also while fewer have been heard from.
static constexpr uint32_t assumedEntries = 6;

// Time between two log lines on requests that went to another data centre.
static constexpr Seconds remoteSendLogInterval { 1 };

static PeerExchangeSettings peerSettings(const NodeSettings& settings)
{
    PeerExchangeSettings exchangeSettings;
    exchangeSettings.ip = settings.ownIp;
    exchangeSettings.port = settings.peerPort;
    exchangeSettings.dataCentre = settings.location.dataCentre;
    for (const auto& seed : settings.seedAddresses)
        exchangeSettings.seeds.push_back(seed.host);
    return exchangeSettings;
}

EntryNode::EntryNode(EventLoop& loop, const NodeSettings& settings, const ProtocolAdapter& adapter, EventLog& log)
    : loop(loop)
    , settings(settings)
    , adapter(adapter)
    , log(log)
    , channels(loop, endpointTimes)
    , livenessChecks(loop, this->metrics)
    , random(std::hash<std::string>()(settings.vm) ^ static_cast<uint64_t>(BootClock::now().time_since_epoch().count()))
    , peers(loop, peerSettings(settings), this->makePeerHandlers())
    , cutOffReport(this->metrics, log)
    , connectionMemory(std::make_shared<ConnectionMemory>(loop))
    , callerServer(loop, [this](const std::shared_ptr<ServerExchange>& exchange) {
        uint64_t number = this->nextRequestNumber++;
        auto request = std::make_shared<ProxiedRequest>(*this, number, exchange);
        this->activeRequests.emplace(number, request);
        request->startProcessing();
    })
    , readinessServer(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerReadiness(exchange); })
    , metricsServer(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerMetrics(exchange); })
    , peerServer(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerPeerRequest(exchange); })
    , peerCaller(loop, Address())
    , storeWatch(loop, adapter.store, { settings.storeAddress, {}, storeLongPollWait, Milliseconds(700), storePause }, { [this](const std::vector<StoreChange>& items, const StoreVersion& version, BootTimePoint sentAt) { this->applyListing(items, version, sentAt); }, [this](const std::vector<StoreChange>& changes, BootTimePoint sentAt) { this->applyChanges(changes, sentAt); }, [this](const std::string& reason, int failures) { this->handleStoreFailure(reason, failures); }, [this](const std::string& fault) { this->noteUnreadableItem({}, 0, fault); } })
    , tickTimer(loop)
{
}

EntryNode::~EntryNode()
{
    // Active requests use the node's tables when they end, so they are ended first.
    this->activeRequests.clear();
}

// The limits on what callers make the process hold are those of all ports together.
void EntryNode::shareConnectionMemory()
{
    this->connectionMemory->onCutOff([this](CutOffCause cause, size_t heldBytes) { this->cutOffReport.note(cause, heldBytes, Clock::now()); });
    for (auto* server : { &this->callerServer, &this->readinessServer, &this->metricsServer, &this->peerServer })
        server->shareMemory(this->connectionMemory);
    auto descriptors = static_cast<size_t>(this->settings.maxFileDescriptors);
    ServerLimits limits;
    limits.maxConnections = maxPeerConnections(this->settings.vmMemoryBytes, descriptors);
    this->peerServer.setLimits(limits);
    limits.maxConnections = maxObserverConnections(this->settings.vmMemoryBytes, descriptors);
    this->readinessServer.setLimits(limits);
    this->metricsServer.setLimits(limits);
    this->setCallerLimits(ServerLimits());
}

void EntryNode::setCallerLimits(ServerLimits limits)
{
    limits.maxConnections = maxCallerConnections(this->settings.vmMemoryBytes, static_cast<size_t>(this->settings.maxFileDescriptors));
    this->callerServer.setLimits(limits);
    this->connectionMemory->setLimits(makeRequestMemoryLimits(this->settings.vmMemoryBytes, limits.maxBodyBytes));
}

absl::Status EntryNode::start()
{
    this->shareConnectionMemory();
    auto status = this->callerServer.listen(this->settings.listenAddress);
    if (status.ok())
        status = this->readinessServer.listen(this->settings.readinessListenAddress);
    if (status.ok() && this->settings.metricsListenAddress)
        status = this->metricsServer.listen(*this->settings.metricsListenAddress);
    if (!status.ok())
        return status;
    if (this->settings.peerPort != 0)
        status = this->peers.start();
    if (status.ok() && this->settings.peerPort != 0)
        status = this->peerServer.listen({ this->settings.ownIp, this->settings.peerPort });
    if (!status.ok())
        return status;
    this->startedAt = Clock::now();
    this->storeWatch.start();
    this->scheduleTick();
    return absl::OkStatus();
}

void EntryNode::reload(const ReloadableSettings& bounds)
{
    this->settings.reloadable = bounds;
}

void EntryNode::confirmView(BootTimePoint sentAt)
{
    this->clusterView.isConfirmed = true;
    this->clusterView.confirmedAt = std::max(this->clusterView.confirmedAt, sentAt);
}

void EntryNode::confirmViewByStore(BootTimePoint sentAt)
{
    if (this->isViewFromPeer) {
        this->isViewFromPeer = false;
        this->log.write(LogLevel::Info, "left_peers_belief", {});
    }
    if (this->isStoreUnreachable) {
        this->isStoreUnreachable = false;
        this->clusterView.outageEndedAt = Clock::now();
        this->log.write(LogLevel::Info, "store_regained", { { "age_ms", ageOf(this->clusterView, BootClock::now()) } });
    }
    this->confirmView(sentAt);
}

// Notes the store's era. When it rises, what was known before is held until it has been written again (see StoreEra.h).
void EntryNode::noteEra(uint64_t era, TimePoint now)
{
    auto known = this->clusterView.era;
    if (!noteStoreEra(this->clusterView, era, now))
        return;
    this->metrics.addToCounter("bilberry_store_losses_total");
    this->log.write(LogLevel::Warning, "store_lost_changes", { { "era", era }, { "known_era", known } });
}

// Is to be called before the view is confirmed by the call that brings the changes. `era` is that of the changes.
void EntryNode::updateEarliestNamingTime(uint64_t era, TimePoint now)
{
    const auto& bounds = this->settings.reloadable;
    bool mayHaveBeenLost = era < this->clusterView.era || now < this->clusterView.eraHoldUntil;
    this->clusterView.isNamingTimeAssumed = !this->clusterView.isConfirmed || mayHaveBeenLost;
    this->clusterView.earliestNamingTime = earliestNamingTime(this->clusterView, { bounds.maxVersionSwitchTime, bounds.recoveryGracePeriod }, mayHaveBeenLost, BootClock::now());
}

void EntryNode::applyChange(const StoreChange& change, bool isListed, TimePoint now)
{
    auto [effect, error, isKnown] = updateView(this->clusterView, this->storeReplica, this->adapter.store, change, isListed, now);
    if (isKnown)
        return;
    auto key = this->adapter.store.parseKey(change.key);
    if (key.kind == StoreKeyKind::Endpoint)
        noteEndedRun(*this, key.name, now);
    if (effect == ClusterViewChange::None)
        return;
    if (effect == ClusterViewChange::Unreadable) {
        this->noteUnreadableItem(change.key, change.revision, error);
        return;
    }
    if (effect == ClusterViewChange::Configuration) {
        this->setCallerLimits(this->clusterView.routes->limits);
        for (const auto& fault : this->clusterView.routes->faults)
            this->log.write(LogLevel::Warning, "configuration_fault", { { "generation", this->clusterView.routes->generation }, { "fault", fault } });
    }
    this->log.write(LogLevel::Info, "belief_changed", { { "what", toText(effect) }, { "key", change.key }, { "revision", change.revision }, { "era", change.era }, { "generation", this->clusterView.routes ? this->clusterView.routes->generation : 0 } });
}

// Counts and logs an item of the store that couldn't be read. The key is empty and the revision zero if only the fault tells them.
void EntryNode::noteUnreadableItem(const std::string& key, uint64_t revision, const std::string& fault)
{
    this->metrics.addToCounter("bilberry_store_unreadable_total");
    this->log.write(LogLevel::Warning, "store_item_unreadable", { { "key", key }, { "revision", revision }, { "fault", fault } });
}

void EntryNode::applyListing(const std::vector<StoreChange>& items, const StoreVersion& version, BootTimePoint sentAt)
{
    auto now = Clock::now();
    this->noteEra(version.era, now);
    this->updateEarliestNamingTime(version.era, now);
    this->confirmViewByStore(sentAt);
    this->storeReplica.beginListing(version.era);
    for (const auto& item : items)
        this->applyChange(item, true, now);
    finishListing(this->clusterView, this->storeReplica, this->adapter.store, items, version, now);
    this->dispatchRequestsAwaitingConfiguration(now);
    this->log.write(LogLevel::Info, "store_listed", { { "items", static_cast<uint64_t>(items.size()) } });
}

void EntryNode::applyChanges(const std::vector<StoreChange>& changes, BootTimePoint sentAt)
{
    auto now = Clock::now();
    this->updateEarliestNamingTime(this->clusterView.era, now);
    this->confirmViewByStore(sentAt);
    for (const auto& change : changes) {
        this->applyChange(change, false, now);
        this->storeReplica.noteVersion(versionOf(change));
    }
    bool wasHeldToTheEnd = changes.empty() && BootClock::now() - sentAt >= storeLongPollWait;
    if (wasHeldToTheEnd)
        this->clusterView.unchangedUntil = sentAt + storeLongPollWait;
    if (!changes.empty())
        this->dispatchRequestsAwaitingConfiguration(now);
}

// Whether the entry has a configuration and, for a short time after its start, whether no peer is known to have a newer one:
// the store may have lost changes shortly before, and its answer alone may bring back a key that was withdrawn.
bool EntryNode::isConfigurationCurrent(TimePoint now) const
{
    if (!this->clusterView.routes)
        return false;
    if (this->settings.peerPort == 0 || now - this->startedAt >= peerWaitAfterStart)
        return true;
    return this->hasPeerAnswered && peerWithNewerConfiguration(this->peers.table(), this->clusterView.routes->generation, now).empty();
}

bool hasCurrentConfiguration(const EntryNode& node, TimePoint now)
{
    return node.isConfigurationCurrent(now);
}

// Dispatches the requests that arrived before the first configuration.
void EntryNode::dispatchRequestsAwaitingConfiguration(TimePoint now)
{
    if (this->requestsAwaitingConfiguration.empty() || !this->isConfigurationCurrent(now))
        return;
    auto numbers = std::move(this->requestsAwaitingConfiguration);
    this->requestsAwaitingConfiguration.clear();
    for (uint64_t number : numbers) {
        auto found = this->activeRequests.find(number);
        if (found == this->activeRequests.end())
            continue;
        auto request = found->second;
        request->admitAndDispatch(now);
    }
}

void EntryNode::handleStoreFailure(const std::string& reason, int failures)
{
    this->metrics.addToCounter("bilberry_store_failures_total");
    if (this->isStoreUnreachable)
        return;
    this->isStoreUnreachable = true;
    this->log.write(LogLevel::Warning, "store_lost", { { "reason", reason }, { "failures", failures }, { "age_ms", ageOf(this->clusterView, BootClock::now()) } });
}

bool knowsRevocations(const EntryNode& node, BootTimePoint now)
{
    const auto& bounds = node.settings.reloadable;
    if (!bounds.failsClosed)
        return true;
    auto bound = static_cast<int64_t>(maxAgeFractionToAdmit * static_cast<double>(bounds.maxRevocationDelay.count()));
    return ageOf(node.clusterView, now) < Milliseconds(bound);
}

bool isReady(const EntryNode& node, BootTimePoint now)
{
    bool isStopping = node.stopRequestedAt != TimePoint::max();
    if (isStopping || !hasCurrentConfiguration(node, Clock::now()))
        return false;
    auto isUsable = [](const EndpointRow& row) { return row.isListed && !row.record.isDraining; };
    const auto& rows = node.clusterView.endpoints.rows;
    if (std::none_of(rows.begin(), rows.end(), isUsable))
        return false;
    auto bound = static_cast<int64_t>(maxAgeFractionToBeReady * static_cast<double>(node.settings.reloadable.maxRevocationDelay.count()));
    return !node.settings.reloadable.failsClosed || ageOf(node.clusterView, now) < Milliseconds(bound);
}

bool acceptsRequests(const EntryNode& node, TimePoint now)
{
    return now < node.stopSchedule.takesRequestsUntil;
}

uint32_t entryCount(const EntryNode& node)
{
    return std::max(assumedEntries, countEntries(node.peers.table(), Clock::now()));
}

uint32_t nearEntryCount(const EntryNode& node)
{
    return node.nearPeers + 1;
}

void reportSwitchingEngine(EntryNode& node, EndpointRow& row, TimePoint now)
{
    noteSwitching(row, now);
    if (node.peerReports.addSwitchingEngine(endpointHash(row.record.id), ReportSource::Own, now))
        node.hasChangesForPeers = true;
}

void noteRemoteSend(EntryNode& node, const EndpointChoice& choice, TimePoint now)
{
    if (choice.remoteReason == RemoteReason::None)
        return;
    node.metrics.addToCounter("bilberry_remote_sends_total", { { "reason", std::string(toText(choice.remoteReason)) } });
    if (now - node.remoteSendLoggedAt < remoteSendLogInterval)
        return;
    node.remoteSendLoggedAt = now;
    const auto& record = node.clusterView.endpoints.rows[choice.row].record;
    node.log.write(LogLevel::Info, "sent_to_other_data_centre", { { "service", record.service }, { "data_centre", record.dataCentre }, { "endpoint", record.id }, { "reason", toText(choice.remoteReason) } });
}

void EntryNode::answerReadiness(const std::shared_ptr<ServerExchange>& exchange)
{
    bool isReadyPath = exchange->request().path == this->adapter.requests.readyPath;
    exchange->sendResponse(!isReadyPath ? 404 : isReady(*this, BootClock::now()) ? 200
                                                                                 : 503,
        {}, {});
}

// Answers an operator's question where a request would go.
static void answerRouteQuestion(EntryNode& node, const std::shared_ptr<ServerExchange>& exchange)
{
    auto question = parseRouteQuestion(exchange->request().path);
    auto report = question.ok() ? explainRoute(node, *question, Clock::now()) : absl::StatusOr<RouteReport>(question.status());
    if (report.ok())
        exchange->sendResponse(200, { { "Content-Type", "application/json" } }, toJson(*report).dump());
    else
        exchange->sendResponse(absl::IsNotFound(report.status()) ? 404 : 400, { { "Content-Type", "text/plain" } }, std::string(report.status().message()));
}

// Shows how far the other data centres are; 0 also while that isn't known.
static void updateDistanceMetrics(EntryNode& node, TimePoint now)
{
    const auto& location = node.settings.location;
    for (const auto& [dataCentre, region] : location.regionByDataCentre) {
        auto roundTrip = roundTripTo(node.distances, location.dataCentre, dataCentre, now);
        if (dataCentre != location.dataCentre)
            node.metrics.setGauge("bilberry_data_centre_round_trip_seconds", roundTrip ? roundTrip->count() / 1000 : 0, { { "data_centre", dataCentre } });
    }
}

void EntryNode::answerMetrics(const std::shared_ptr<ServerExchange>& exchange)
{
    const auto& target = exchange->request().path;
    if (target.substr(0, target.find('?')) == routeQuestionPath) {
        answerRouteQuestion(*this, exchange);
        return;
    }
    updateProcessMetrics(this->metrics);
    this->metrics.setGauge("bilberry_belief_age_seconds", std::chrono::duration<double>(ageOf(this->clusterView, BootClock::now())).count());
    this->metrics.setGauge("bilberry_requests_in_progress", static_cast<double>(this->activeRequests.size()));
    this->metrics.setGauge("bilberry_store_calls", static_cast<double>(this->storeWatch.callCount()));
    this->metrics.setGauge("bilberry_log_lines_dropped", static_cast<double>(this->log.droppedLines()));
    this->metrics.setGauge("bilberry_endpoint_connections_made", static_cast<double>(this->channels.createdCount()));
    this->metrics.setGauge("bilberry_endpoints_stated_slow", static_cast<double>(countSlowByStatement(this->clusterView.endpoints, Clock::now())));
    this->metrics.setGauge("bilberry_peer_bytes_sent", static_cast<double>(this->peers.sentBytes()));
    updateDemandMetrics(*this);
    updateDistanceMetrics(*this, Clock::now());
    exchange->sendResponse(200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.serialize());
}

} // namespace bilberry
