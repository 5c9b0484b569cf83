#include "EntryNode.h"

#include "ProcessFigures.h"
#include "RequestRun.h"
#include "ServerExchange.h"

#include <algorithm>

namespace bilberry {

// Time between two runs of the systems.
static constexpr Milliseconds tickTime { 20 };
// Times of connections to endpoints.
static constexpr ChannelTimes endpointTimes { Milliseconds(600), Milliseconds(1500) };
// Longest wait of one call to the store, which bounds how old belief gets while the store answers.
static constexpr Milliseconds storeWait { 1000 };
// Pause between two calls, in which changes that come together gather: all entries share the store's rate.
static constexpr Milliseconds storePause { 150 };
// Share of the bound on revocations up to which keyed requests are let in, and up to which callers are wanted.
static constexpr double revocationShare = 0.85;
static constexpr double readyShare = 0.6;
// Entries assumed to share the fleet's budgets as long as they are not counted.
static constexpr uint32_t assumedEntries = 6;
// Time after the request to stop for which the balancer may still send new callers; and the part of the grace time after
// which what still runs is cut off.
static constexpr Milliseconds balancerLag { 2600 };
static constexpr double graceShare = 0.93;

static PeerExchangeSettings peerSettings(const NodeSettings& settings)
{
    PeerExchangeSettings peers;
    peers.ip = settings.ip;
    peers.port = settings.peerPort;
    peers.dataCentre = settings.place.dataCentre;
    for (const auto& seed : settings.seeds)
        peers.seeds.push_back(seed.host);
    return peers;
}

EntryNode::EntryNode(EventLoop& loop, const NodeSettings& settings, const Dialect& dialect, EventLog& log)
    : loop(loop)
    , settings(settings)
    , dialect(dialect)
    , log(log)
    , channels(loop, endpointTimes)
    , random(std::hash<std::string>()(settings.vm) ^ static_cast<uint64_t>(BootClock::now().time_since_epoch().count()))
    , peers(
          loop, peerSettings(settings), [this](PeerMessage& message) { this->describeTo(message); }, [this](const PeerMessage& message) { this->takePeerMessage(message); },
          [this](const EngineNotice& notice) { this->takeNotice(notice); })
    , callers(loop, [this](const std::shared_ptr<ServerExchange>& exchange) {
        uint64_t number = this->nextRun++;
        auto run = std::make_shared<RequestRun>(*this, number, exchange);
        this->runs.emplace(number, run);
        run->begin();
    })
    , balancer(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerReady(exchange); })
    , scrapers(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerMetrics(exchange); })
    , peerServer(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerPeer(exchange); })
    , peerCaller(loop, Address())
    , watch(loop, dialect.store, { settings.store, {}, storeWait, Milliseconds(700), storePause }, { [this](const std::vector<StoreChange>& items, BootTimePoint sentAt) { this->takeListing(items, sentAt); }, [this](const std::vector<StoreChange>& changes, BootTimePoint sentAt) { this->takeChanges(changes, sentAt); }, [this](const std::string& reason, int failures) { this->takeFailure(reason, failures); } })
    , timer(loop)
{
}

EntryNode::~EntryNode()
{
    // Runs use the node's tables when they end.
    this->runs.clear();
}

absl::Status EntryNode::start()
{
    auto status = this->callers.listen(this->settings.listen);
    if (status.ok())
        status = this->balancer.listen(this->settings.readyListen);
    if (status.ok() && this->settings.metricsListen)
        status = this->scrapers.listen(*this->settings.metricsListen);
    if (!status.ok())
        return status;
    if (this->settings.peerPort != 0)
        status = this->peers.start();
    if (status.ok() && this->settings.peerPort != 0)
        status = this->peerServer.listen({ this->settings.ip, this->settings.peerPort });
    if (!status.ok())
        return status;
    this->watch.start();
    this->armTick();
    return absl::OkStatus();
}

void EntryNode::reload(const NodeBounds& bounds)
{
    this->settings.bounds = bounds;
}

void EntryNode::confirm(BootTimePoint sentAt)
{
    this->belief.isConfirmed = true;
    this->belief.confirmedAt = std::max(this->belief.confirmedAt, sentAt);
}

void EntryNode::confirmByStore(BootTimePoint sentAt)
{
    if (this->livesFromPeers) {
        this->livesFromPeers = false;
        this->log.write(LogLevel::Info, "left_peers_belief", {});
    }
    if (this->isStoreLost) {
        this->isStoreLost = false;
        this->belief.outageEndedAt = Clock::now();
        this->log.write(LogLevel::Info, "store_regained", { { "age_ms", ageOf(this->belief, BootClock::now()) } });
    }
    this->confirm(sentAt);
}

void EntryNode::apply(const StoreChange& change, TimePoint now)
{
    if (!this->copy.take(change, now))
        return;
    std::string fault;
    auto step = applyChange(this->belief, this->dialect.store, change, now, fault);
    if (step == BeliefStep::None)
        return;
    if (step == BeliefStep::Unreadable) {
        this->metrics.count("bilberry_store_unreadable_total");
        this->log.write(LogLevel::Warning, "store_item_unreadable", { { "key", change.key }, { "revision", change.revision }, { "fault", fault } });
        return;
    }
    if (step == BeliefStep::Configuration) {
        auto limits = this->belief.routes->limits;
        limits.connections = static_cast<size_t>(this->settings.maxDescriptors) / 2;
        this->callers.setLimits(limits);
    }
    this->log.write(LogLevel::Info, "belief_changed", { { "what", toText(step) }, { "key", change.key }, { "revision", change.revision }, { "generation", this->belief.routes ? this->belief.routes->generation : 0 } });
}

void EntryNode::takeListing(const std::vector<StoreChange>& items, BootTimePoint sentAt)
{
    auto now = Clock::now();
    // What the first listing holds may have been named long before.
    const auto& bounds = this->settings.bounds;
    this->belief.namedBefore = this->belief.isConfirmed ? Milliseconds(0) : std::max(Milliseconds(0), bounds.versionSwitch - bounds.contact);
    this->confirmByStore(sentAt);
    for (const auto& item : items)
        this->apply(item, now);
    this->belief.namedBefore = Milliseconds(0);
    applyAbsences(this->belief, this->dialect.store, items, now);
    this->proceedUnadmitted(now);
    this->log.write(LogLevel::Info, "store_listed", { { "items", static_cast<uint64_t>(items.size()) } });
}

void EntryNode::takeChanges(const std::vector<StoreChange>& changes, BootTimePoint sentAt)
{
    auto now = Clock::now();
    this->confirmByStore(sentAt);
    for (const auto& change : changes)
        this->apply(change, now);
    if (!changes.empty())
        this->proceedUnadmitted(now);
}

// Requests that came before the first configuration.
void EntryNode::proceedUnadmitted(TimePoint now)
{
    if (!this->belief.routes || this->unadmitted.empty())
        return;
    auto numbers = std::move(this->unadmitted);
    this->unadmitted.clear();
    for (uint64_t number : numbers) {
        auto run = this->runs.find(number);
        if (run == this->runs.end())
            continue;
        auto held = run->second;
        held->proceed(now);
    }
}

void EntryNode::takeFailure(const std::string& reason, int failures)
{
    this->metrics.count("bilberry_store_failures_total");
    if (this->isStoreLost)
        return;
    this->isStoreLost = true;
    this->log.write(LogLevel::Warning, "store_lost", { { "reason", reason }, { "failures", failures }, { "age_ms", ageOf(this->belief, BootClock::now()) } });
}

bool knowsRevocations(const EntryNode& node, BootTimePoint now)
{
    const auto& bounds = node.settings.bounds;
    if (!bounds.failsClosed)
        return true;
    auto bound = static_cast<int64_t>(revocationShare * static_cast<double>(bounds.revocation.count()));
    return ageOf(node.belief, now) < Milliseconds(bound);
}

bool isReady(const EntryNode& node, BootTimePoint now)
{
    bool isStopping = node.stopRequestedAt != TimePoint::max();
    if (isStopping || !node.belief.routes)
        return false;
    auto isUsable = [](const EndpointRow& row) { return row.isListed && !row.record.isDraining; };
    const auto& rows = node.belief.endpoints.rows;
    if (std::none_of(rows.begin(), rows.end(), isUsable))
        return false;
    auto bound = static_cast<int64_t>(readyShare * static_cast<double>(node.settings.bounds.revocation.count()));
    return !node.settings.bounds.failsClosed || ageOf(node.belief, now) < Milliseconds(bound);
}

bool takesRequests(const EntryNode& node, TimePoint now)
{
    return node.stopRequestedAt == TimePoint::max() || now - node.stopRequestedAt < balancerLag;
}

uint32_t entryCount(const EntryNode& node)
{
    return std::max(assumedEntries, countEntries(node.peers.table(), Clock::now()));
}

void reportCrash(EntryNode& node, const std::vector<uint64_t>& fingerprints, const std::string& endpointId, TimePoint now)
{
    uint32_t endpoint = endpointHash(endpointId);
    for (uint64_t fingerprint : fingerprints) {
        CrashReport report { fingerprint, endpoint };
        if (node.crashes.add(report, now))
            node.recentCrashes.push_back({ report, now + newsTime });
    }
    node.hasLoadChanged = true;
    node.log.write(LogLevel::Warning, "endpoint_crashed", { { "endpoint", endpointId }, { "requests", static_cast<uint64_t>(fingerprints.size()) } });
}

// Drops news that the peers have been told often enough.
static void dropOldNews(EntryNode& node, TimePoint now)
{
    auto isOldCrash = [&](const EntryNode::RecentCrash& recent) { return now >= recent.until; };
    auto isOldNotice = [&](const EntryNode::RecentNotice& recent) { return now >= recent.until; };
    node.recentCrashes.erase(std::remove_if(node.recentCrashes.begin(), node.recentCrashes.end(), isOldCrash), node.recentCrashes.end());
    node.recentNotices.erase(std::remove_if(node.recentNotices.begin(), node.recentNotices.end(), isOldNotice), node.recentNotices.end());
    node.crashes.sweep(now);
    node.refusals.sweep(now);
    node.ownRefusals.sweep(now);
}

void EntryNode::answerReady(const std::shared_ptr<ServerExchange>& exchange)
{
    bool isReadyPath = exchange->request().path == this->dialect.requests.readyPath;
    exchange->answer(!isReadyPath ? 404 : isReady(*this, BootClock::now()) ? 200
                                                                           : 503,
        {}, {});
}

void EntryNode::answerMetrics(const std::shared_ptr<ServerExchange>& exchange)
{
    noteProcessFigures(this->metrics);
    this->metrics.set("bilberry_belief_age_seconds", std::chrono::duration<double>(ageOf(this->belief, BootClock::now())).count());
    this->metrics.set("bilberry_requests_in_progress", static_cast<double>(this->runs.size()));
    this->metrics.set("bilberry_store_calls", static_cast<double>(this->watch.callCount()));
    this->metrics.set("bilberry_log_lines_dropped", static_cast<double>(this->log.dropped()));
    this->metrics.set("bilberry_endpoint_connections_made", static_cast<double>(this->channels.madeCount()));
    this->metrics.set("bilberry_peer_bytes_sent", static_cast<double>(this->peers.sentBytes()));
    exchange->answer(200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.serialize());
}

void startWaiting(EntryNode& node, const std::string& service)
{
    auto found = node.queues.find(service);
    if (found == node.queues.end())
        return;
    auto now = Clock::now();
    // A copy: runs that start leave the queue.
    auto waiting = found->second.waiting;
    for (const auto& request : waiting) {
        auto run = node.runs.find(request.run);
        if (run == node.runs.end()) {
            dequeue(found->second, request.run);
            continue;
        }
        auto held = run->second;
        if (held->tryStart(now))
            dequeue(found->second, request.run);
    }
}

static void endExpiredWaits(EntryNode& node, TimePoint now)
{
    for (auto& [service, queue] : node.queues) {
        for (const auto& request : takeExpired(queue, now)) {
            auto run = node.runs.find(request.run);
            if (run == node.runs.end())
                continue;
            auto held = run->second;
            held->endWait();
        }
    }
}

static void tickRuns(EntryNode& node, TimePoint now)
{
    std::vector<std::shared_ptr<RequestRun>> held;
    held.reserve(node.runs.size());
    for (const auto& [number, run] : node.runs)
        held.push_back(run);
    for (const auto& run : held)
        run->tick(now);
}

void EntryNode::armTick()
{
    this->timer.expires_after(tickTime);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (hasFired(this->timer, error))
            this->tick();
    });
}

void EntryNode::tick()
{
    auto now = Clock::now();
    for (const auto& gone : this->belief.endpoints.sweep(now))
        this->channels.drop(gone);
    this->takePeerLoads(now);
    this->askPeer(now);
    this->answerDueBriefs(now);
    this->copy.sweep(now);
    dropOldNews(*this, now);
    tickRuns(*this, now);
    for (const auto& [service, queue] : this->queues)
        startWaiting(*this, service);
    endExpiredWaits(*this, now);
    if (this->settings.peerPort != 0)
        this->peers.tick(this->hasLoadChanged, now);
    this->stopWhenDone(now);
    this->armTick();
}

void EntryNode::beginStop()
{
    if (this->stopRequestedAt != TimePoint::max())
        return;
    this->stopRequestedAt = Clock::now();
    this->callers.beginClosing();
    this->log.write(LogLevel::Info, "stopping", { { "in_progress", static_cast<uint64_t>(this->runs.size()) } });
}

void EntryNode::stopWhenDone(TimePoint now)
{
    if (this->stopRequestedAt == TimePoint::max() || now - this->stopRequestedAt < balancerLag)
        return;
    this->callers.stopAccepting();
    this->callers.closeIdle();
    auto grace = Milliseconds(static_cast<int64_t>(graceShare * static_cast<double>(this->settings.bounds.stopGrace.count())));
    bool isDone = this->runs.empty() && this->callers.connectionCount() == 0;
    if (!isDone && now - this->stopRequestedAt < grace)
        return;
    this->log.write(LogLevel::Info, "stopped", { { "cut_off", static_cast<uint64_t>(this->runs.size()) } });
    this->loop.stop();
}

} // namespace bilberry
