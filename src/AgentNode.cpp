#include "AgentNode.h"

#include "Digest.h"
#include "PeerMessage.h"
#include "PieceManifest.h"
#include "ServerExchange.h"

#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

// Time between two runs of the systems.
static constexpr Milliseconds tickTime { 50 };
// How often the engine is asked for its state.
static constexpr Milliseconds reportInterval { 300 };
// How often the configuration is read until there is one.
static constexpr Milliseconds configurationInterval { 1000 };
// Longest wait of one call to the store for a newly named version.
static constexpr Milliseconds storeWait { 2500 };
// How long entries are told of an engine that has turned to other weights.
static constexpr Milliseconds noticeTime { 700 };
// How often the engine is asked for its state while an order is carried out.
static constexpr Milliseconds busyReportInterval { 100 };
// Times for answers.
static constexpr Milliseconds storeTimeout { 1500 };
static constexpr Milliseconds manifestTimeout { 1500 };
static constexpr Milliseconds manifestPause { 250 };
// Pieces that are fetched at a time.
static constexpr size_t parallelFetches = 16;
// Pause before an order is given again.
static constexpr Milliseconds orderPause { 1500 };
// The version that engines have from the start.
static constexpr uint32_t firstVersion = 1;
static constexpr std::string_view manifestPrefix = "/manifests/";

bool serves(const EngineReport& report, const ServedModel& model, uint32_t version)
{
    return report.layers >= model.layers && report.layersVersion == version && version != 0;
}

AgentNode::AgentNode(EventLoop& loop, const NodeSettings& settings, const Dialect& dialect, EventLog& log)
    : loop(loop)
    , settings(settings)
    , dialect(dialect)
    , log(log)
    , timer(loop)
    , uploadTimer(loop)
    , peers(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerPeer(exchange); })
    , scrapers(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerMetrics(exchange); })
    , watch(loop, dialect.store, { settings.store, std::string(dialect.store.versionPrefix), storeWait, Milliseconds(700), Milliseconds(40) },
          { [this](const std::vector<StoreChange>& items, BootTimePoint) { this->takeNamed(items, true); },
              [this](const std::vector<StoreChange>& changes, BootTimePoint) { this->takeNamed(changes, false); },
              [this](const std::string& reason, int failures) {
                  if (failures == 1)
                      this->log.write(LogLevel::Warning, "store_call_failed", { { "reason", reason } });
              } })
    , storeCaller(loop, settings.store)
    , reportCaller(loop, *settings.engine)
    , manifestCaller(loop, *settings.engine)
    , noticeSender(loop, settings.ip, settings.peerPort)
{
    for (size_t i = 0; i < parallelFetches; ++i)
        this->fetches.push_back(std::make_unique<Fetch>());
}

AgentNode::~AgentNode() = default;

absl::Status AgentNode::start()
{
    auto status = this->peers.listen({ this->settings.ip, this->settings.peerPort });
    if (status.ok() && this->settings.metricsListen)
        status = this->scrapers.listen(*this->settings.metricsListen);
    if (!status.ok())
        return status;
    this->watch.start();
    this->tick();
    return absl::OkStatus();
}

void AgentNode::reload(const NodeBounds& bounds)
{
    this->settings.bounds = bounds;
}

void AgentNode::beginStop()
{
    this->log.write(LogLevel::Info, "stopping", {});
    this->loop.stop();
}

void AgentNode::armTick()
{
    this->timer.expires_after(tickTime);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (hasFired(this->timer, error))
            this->tick();
    });
}

void AgentNode::tick()
{
    auto now = Clock::now();
    if (!this->configuration && now - this->configurationAskedAt >= configurationInterval)
        this->readConfiguration();
    bool isTurning = this->orderedVersion != 0 && this->report && !serves(*this->report, this->model, this->orderedVersion);
    if (now - this->reportAskedAt >= (isTurning || now < this->noticeUntil ? busyReportInterval : reportInterval))
        this->readReport();
    if (this->configuration && this->report) {
        this->choosePiecesFor(this->wantedVersion(), now);
        this->startFetches(now);
        this->orderWhenReady(now);
    }
    this->dropOldHeld(now);
    this->armTick();
}

void AgentNode::answerMetrics(const std::shared_ptr<ServerExchange>& exchange)
{
    auto missing = std::count(this->isStaged.begin(), this->isStaged.end(), false);
    this->metrics.set("bilberry_weights_version", this->report ? this->report->layersVersion : 0);
    this->metrics.set("bilberry_weights_wanted_version", this->wantedVersion());
    this->metrics.set("bilberry_pieces_missing", static_cast<double>(missing));
    this->metrics.set("bilberry_store_calls", static_cast<double>(this->watch.callCount()));
    this->metrics.set("bilberry_log_lines_dropped", static_cast<double>(this->log.dropped()));
    exchange->answer(200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.serialize());
}

void AgentNode::readConfiguration()
{
    if (this->storeCaller.isBusy())
        return;
    this->configurationAskedAt = Clock::now();
    this->storeCaller.get(this->dialect.store.itemPath(this->dialect.store.configurationKey, true), storeTimeout, [this](const CallResult& result) {
        if (result.status != 200)
            return;
        auto item = this->dialect.store.readItem(result.body);
        auto table = item.ok() ? this->dialect.store.readRouteTable(item->value) : absl::StatusOr<RouteTable>(item.status());
        if (!table.ok()) {
            this->log.write(LogLevel::Warning, "store_item_unreadable", { { "key", std::string(this->dialect.store.configurationKey) }, { "fault", std::string(table.status().message()) } });
            return;
        }
        const auto* service = findService(*table, this->settings.service);
        if (!service || service->models.empty())
            return;
        this->model = service->models.front();
        this->configuration = std::make_shared<const RouteTable>(*std::move(table));
    });
}

// Reads all pages of the list of endpoints.
void AgentNode::readEndpoints()
{
    if (this->storeCaller.isBusy())
        return;
    this->endpointsAt = Clock::now();
    auto gathered = std::make_shared<std::vector<EndpointRecord>>();
    auto next = std::make_shared<std::function<void(const std::string&)>>();
    std::weak_ptr<std::function<void(const std::string&)>> weakNext = next;
    *next = [this, gathered, weakNext](const std::string& after) {
        auto self = weakNext.lock();
        this->storeCaller.get(this->dialect.store.listPath(this->dialect.store.endpointPrefix, after, false), storeTimeout, [this, gathered, self](const CallResult& result) {
            auto page = result.status == 200 ? this->dialect.store.readPage(result.body) : absl::StatusOr<StorePage>(absl::UnavailableError(result.describe()));
            if (!page.ok())
                return;
            for (const auto& item : page->items) {
                auto record = this->dialect.store.readEndpoint(this->dialect.store.readKey(item.key).name, item.value);
                if (record.ok())
                    gathered->push_back(*std::move(record));
            }
            if (page->hasMore && !page->items.empty()) {
                (*self)(page->items.back().key);
                return;
            }
            this->endpoints = std::move(*gathered);
            this->hasEndpoints = true;
        });
    };
    (*next)({});
}

void AgentNode::readReport()
{
    if (this->reportCaller.isBusy())
        return;
    this->reportAskedAt = Clock::now();
    this->reportCaller.get(std::string(this->dialect.engine.reportPath), engineTimeout, [this](const CallResult& result) {
        auto read = result.status == 200 ? this->dialect.engine.readReport(result.body) : absl::StatusOr<EngineReport>(absl::UnavailableError(result.describe()));
        if (read.ok()) {
            this->takeReport(*read, Clock::now());
            return;
        }
        if (this->report)
            this->log.write(LogLevel::Warning, "engine_lost", { { "reason", std::string(read.status().message()) } });
        this->report.reset();
    });
}

void AgentNode::takeReport(const EngineReport& read, TimePoint now)
{
    bool isOther = this->report && (this->report->startedAt != read.startedAt || read.orders < this->report->orders);
    bool isNew = !this->report || isOther;
    if (isNew) {
        // What is staged may be from before the engine's start; it is checked before it is used.
        this->log.write(LogLevel::Info, "engine_found", { { "layers", read.layers }, { "version", read.layersVersion }, { "orders", read.orders } });
        this->orderedVersion = 0;
        this->manifest = PieceDigests();
    }
    bool hasSwitched = this->report && this->report->layersVersion != read.layersVersion;
    if (hasSwitched)
        this->log.write(LogLevel::Info, "engine_switched", { { "version", read.layersVersion }, { "layers", read.layers } });
    this->report = read;
    if (hasSwitched && read.layersVersion != 0)
        this->noticeUntil = now + noticeTime;
    if (now < this->noticeUntil && serves(read, this->model, read.layersVersion))
        this->tellEntries(read.layersVersion);
}

// The list of endpoints shows what an engine holds only some time later.
void AgentNode::tellEntries(uint32_t version)
{
    auto startedAt = static_cast<uint64_t>(this->report->startedAt.value_or(0));
    auto bytes = encodeNotice({ toText(*this->settings.engine), version, startedAt + ++this->notices });
    for (const auto& seed : this->settings.seeds)
        this->noticeSender.send(bytes, seed.host);
}

void AgentNode::takeNamed(const std::vector<StoreChange>& changes, bool isListing)
{
    // What the first listing holds was named some time before: its engine turns without a wait.
    auto before = isListing && !this->hasNamed ? this->settings.bounds.versionSwitch : Milliseconds(0);
    this->hasNamed = true;
    for (const auto& change : changes) {
        auto key = this->dialect.store.readKey(change.key);
        if (change.isRemoved || key.topic != StoreTopic::WeightVersion || (!this->model.name.empty() && key.name != this->model.name))
            continue;
        auto version = this->dialect.store.readWeightVersion(change.value);
        if (!version.ok()) {
            this->log.write(LogLevel::Warning, "store_item_unreadable", { { "key", change.key }, { "fault", std::string(version.status().message()) } });
            continue;
        }
        if (!this->named.empty() && *version <= this->named.rbegin()->first)
            continue;
        this->named[*version] = Clock::now() - before;
        this->log.write(LogLevel::Info, "weights_named", { { "version", *version }, { "revision", change.revision } });
    }
}

TimePoint AgentNode::newestNamedAt() const
{
    return this->named.empty() ? TimePoint() : this->named.rbegin()->second;
}

// The named version, or the one that the engine or its neighbours have when none was named.
uint32_t AgentNode::wantedVersion() const
{
    uint32_t wanted = std::max(this->named.empty() ? firstVersion : this->named.rbegin()->first, this->hintedVersion);
    for (const auto& record : this->endpoints) {
        if (record.service == this->settings.service)
            wanted = std::max(wanted, servedVersion(record, this->model.name, this->model.layers));
    }
    return std::max(wanted, this->report ? this->report->layersVersion : 0);
}

// Begins to bring a version, unless the engine has it or it is being brought.
void AgentNode::choosePiecesFor(uint32_t version, TimePoint now)
{
    if (serves(*this->report, this->model, version) || this->manifest.version == version)
        return;
    // The list must be of after the naming, so that all agents divide the pieces in the same way.
    bool isListOld = !this->hasEndpoints || this->endpointsAt <= this->newestNamedAt();
    if (isListOld || now - this->endpointsAt >= listInterval)
        this->readEndpoints();
    if (!isListOld)
        this->fetchManifest();
}

void AgentNode::fetchManifest()
{
    auto now = Clock::now();
    if (this->manifestCaller.isBusy() || now - this->manifestAskedAt < manifestPause)
        return;
    this->manifestAskedAt = now;
    // 1. The origin and one peer in turn: either may be away.
    Address address;
    if (const auto* origin = this->originService())
        address = *origin->origin;
    std::string path;
    uint32_t version = this->wantedVersion();
    auto agents = listAgents(this->endpoints, this->settings.service, this->model.name, this->model.layers, version, this->settings.place);
    bool asksPeer = this->manifestRound % 2 == 1 && !agents.empty();
    path = this->dialect.engine.manifestPath(this->model.name, version);
    if (asksPeer) {
        const auto& peer = agents[(this->manifestRound / 2) % agents.size()];
        address = { peer.host, this->settings.peerPort };
        path = fmt::format("{}{}", manifestPrefix, version);
    }
    ++this->manifestRound;
    if (address.port == 0)
        return;
    this->manifestCaller.setAddress(address);
    this->manifestCaller.get(path, manifestTimeout, [this, asksPeer](const CallResult& result) { this->takeManifest(result, asksPeer); });
}

void AgentNode::takeManifest(const CallResult& result, bool isFromPeer)
{
    auto decode = isFromPeer ? decodeManifest : this->dialect.engine.readManifest;
    auto read = result.status == 200 ? decode(result.body) : absl::StatusOr<PieceDigests>(absl::UnavailableError(result.describe()));
    if (!read.ok() || read->version != this->wantedVersion() || read->model != this->model.name) {
        this->log.write(LogLevel::Warning, "manifest_failed", { { "reason", read.ok() ? std::string("another version") : std::string(read.status().message()) } });
        return;
    }
    this->manifest = *std::move(read);
    size_t count = this->manifest.digests.size();
    this->isStaged.assign(count, false);
    this->isInHand.assign(count, false);
    this->rounds.assign(count, 0);
    this->denials.assign(count, 0);
    this->notBefore.assign(count, TimePoint());
    this->log.write(LogLevel::Info, "weights_begun", { { "version", this->manifest.version }, { "pieces", static_cast<uint64_t>(count) } });
    // What an earlier process or version staged may serve.
    for (uint32_t piece = 0; piece < count; ++piece)
        this->checkStaged(piece);
}

HttpCaller& AgentNode::localCaller()
{
    for (auto& caller : this->localCallers) {
        if (!caller->isBusy())
            return *caller;
    }
    this->localCallers.push_back(std::make_unique<HttpCaller>(this->loop, *this->settings.engine));
    return *this->localCallers.back();
}

// Whether this engine may turn to new weights now.
bool AgentNode::isMyTurn(TimePoint now) const
{
    auto hosts = hostsOf(this->endpoints, this->settings.service, this->settings.place.dataCentre);
    auto base = switchBase(this->named, this->report->layersVersion);
    return base == TimePoint::max() || now - base >= switchTime(this->settings.ip, hosts, this->settings.bounds.versionSwitch);
}

void AgentNode::orderWhenReady(TimePoint now)
{
    if (!this->report)
        return;
    bool isComplete = this->manifest.version != 0 && std::find(this->isStaged.begin(), this->isStaged.end(), false) == this->isStaged.end();
    if (!isComplete || this->isVerifying || this->report->isBusy || serves(*this->report, this->model, this->manifest.version))
        return;
    bool isOrdered = this->orderedVersion == this->manifest.version && now - this->orderedAt < orderPause;
    if (isOrdered)
        return;
    bool servesNothing = this->report->layers < this->model.layers;
    if (!servesNothing && !this->isMyTurn(now))
        return;
    // Entries send nothing more while the pieces are read back.
    if (!servesNothing)
        this->tellEntries(0);
    // Reads all pieces back right before the order: what is staged may have turned bad.
    this->isVerifying = true;
    auto left = std::make_shared<size_t>(this->manifest.digests.size());
    uint32_t version = this->manifest.version;
    for (uint32_t piece = 0; piece < this->manifest.digests.size(); ++piece) {
        this->localCaller().get(this->dialect.engine.stageReadPath(this->model.name, piece), engineTimeout, [this, left, version, piece](const CallResult& result) {
            bool isCurrent = this->manifest.version == version;
            if (isCurrent)
                this->isStaged[piece] = result.status == 200 && sha256Hex(result.body) == this->manifest.digests[piece];
            if (--*left > 0)
                return;
            this->isVerifying = false;
            bool isGood = isCurrent && std::find(this->isStaged.begin(), this->isStaged.end(), false) == this->isStaged.end();
            if (isGood)
                this->order();
        });
    }
}

void AgentNode::order()
{
    this->orderedAt = Clock::now();
    this->orderedVersion = this->manifest.version;
    uint32_t version = this->manifest.version;
    this->localCaller().call(this->dialect.engine.loadOrder(this->model.name, version), engineTimeout, [this, version](const CallResult& result) {
        this->log.write(LogLevel::Info, "weights_ordered", { { "version", version }, { "answer", result.describe() }, { "since_named_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - this->newestNamedAt()) } });
    });
}

} // namespace bilberry
