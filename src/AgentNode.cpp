#include "AgentNode.h"

#include "Digest.h"
#include "PeerMessage.h"
#include "PieceManifest.h"
#include "ServerExchange.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

// Time between two runs of the systems.
static constexpr Milliseconds tickTime { 50 };
// How often the engine is asked for its state.
static constexpr Milliseconds reportInterval { 300 };
// How often list and configuration are read while pieces are missing.
static constexpr Milliseconds listInterval { 1000 };
static constexpr Milliseconds configurationInterval { 1000 };
// Longest wait of one call to the store for a newly named version.
static constexpr Milliseconds storeWait { 2500 };
// How long entries are told of an engine that has turned to other weights.
static constexpr Milliseconds noticeTime { 700 };
// How often the engine is asked for its state while an order is carried out.
static constexpr Milliseconds busyReportInterval { 100 };
// Times for answers.
static constexpr Milliseconds storeTimeout { 1500 };
static constexpr Milliseconds engineTimeout { 2000 };
static constexpr Milliseconds manifestTimeout { 1500 };
static constexpr Milliseconds manifestPause { 250 };
static constexpr Milliseconds pieceTimeout { 3000 };
// Pieces that are fetched at a time.
static constexpr size_t parallelFetches = 16;
// Of those, at the origin, whose connections all agents share.
static constexpr size_t parallelOriginFetches = 2;
// How long a peer's request waits for a piece that is on its way here.
static constexpr Milliseconds holdTime { 1000 };
// How often a peer that doesn't have a piece yet is asked before another one is.
static constexpr uint32_t maxDenials = 4;
// Pause before a piece is asked for again at the same place.
static constexpr Milliseconds roundPause { 200 };
// Pause before an order is given again.
static constexpr Milliseconds orderPause { 1500 };
// The version that engines have from the start.
static constexpr uint32_t firstVersion = 1;
// Share of the VM's link that uploads may take.
static constexpr double uploadShare = 0.9;
static constexpr std::string_view piecePrefix = "/pieces/";
static constexpr std::string_view manifestPrefix = "/manifests/";

/// One piece on its way.
struct AgentNode::Fetch {
    std::unique_ptr<HttpCaller> caller; ///< Kept for the next piece from the same place.
    bool isRunning = false;
    uint32_t piece = 0;
    uint32_t version = 0;
    bool isFromOrigin = false;
    TimePoint startedAt {};
};

/// A piece that is to be sent to a peer.
struct AgentNode::Upload {
    std::shared_ptr<ServerExchange> exchange;
    uint32_t piece = 0;
    bool isVerified = true; ///< Whether it is checked before it is sent.
};

/// A peer that waits.
struct AgentNode::HeldRequest {
    std::shared_ptr<ServerExchange> exchange;
    uint32_t piece = 0;
    uint32_t version = 0;
    TimePoint until {};
};

// Time that a piece takes on the link at the pace of uploads.
static Duration uploadTime(size_t bytes, double linkMegabits)
{
    if (linkMegabits <= 0)
        return Duration(0);
    double seconds = 8 * static_cast<double>(bytes) / (1e6 * linkMegabits * uploadShare);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

static bool serves(const EngineReport& report, const ServedModel& model, uint32_t version)
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

// Finds out whether a piece lies on the engine's stage already.
void AgentNode::checkStaged(uint32_t piece)
{
    uint32_t version = this->manifest.version;
    this->isInHand[piece] = true;
    this->localCaller().get(this->dialect.engine.stageReadPath(this->model.name, piece), engineTimeout, [this, version, piece](const CallResult& result) {
        if (this->manifest.version != version)
            return;
        this->isInHand[piece] = false;
        this->isStaged[piece] = result.status == 200 && sha256Hex(result.body) == this->manifest.digests[piece];
        if (this->isStaged[piece])
            this->answerHeld(piece);
    });
}

void AgentNode::startFetches(TimePoint now)
{
    if (this->manifest.version == 0 || this->manifest.version != this->wantedVersion())
        return;
    bool isMissing = std::find(this->isStaged.begin(), this->isStaged.end(), false) != this->isStaged.end();
    if (isMissing && now - this->endpointsAt >= listInterval)
        this->readEndpoints();
    auto count = static_cast<uint32_t>(this->manifest.digests.size());
    auto agents = listAgents(this->endpoints, this->settings.service, this->model.name, this->model.layers, this->manifest.version, this->settings.place);
    // Pieces that this agent brings into its region come first: the others wait for them.
    auto isOwn = [&](uint32_t piece) { return importerOf(piece, this->settings.place.regionOf[this->settings.place.dataCentre], agents) == this->settings.ip; };
    auto isOriginBusy = [&] {
        auto isAtOrigin = [](const auto& fetch) { return fetch->isRunning && fetch->isFromOrigin; };
        return static_cast<size_t>(std::count_if(this->fetches.begin(), this->fetches.end(), isAtOrigin)) >= parallelOriginFetches;
    };
    auto asksOrigin = [&](uint32_t piece) { return this->sourceOf(piece, agents).isOrigin; };
    auto offset = static_cast<uint32_t>(std::hash<std::string>()(this->settings.ip) % count);
    for (bool wantsOwn : { true, false }) {
        for (uint32_t i = 0; i < count; ++i) {
            uint32_t piece = (i + offset) % count;
            bool isWanted = !this->isStaged[piece] && !this->isInHand[piece] && now >= this->notBefore[piece] && isOwn(piece) == wantsOwn;
            if (!isWanted)
                continue;
            if (isOriginBusy() && asksOrigin(piece))
                continue;
            auto free = std::find_if(this->fetches.begin(), this->fetches.end(), [](const auto& fetch) { return !fetch->isRunning; });
            if (free == this->fetches.end())
                return;
            this->startFetch(**free, piece, this->sourceOf(piece, agents), now);
        }
    }
}

const ServiceRule* AgentNode::originService() const
{
    for (const auto& service : this->configuration->services) {
        if (service.origin)
            return &service;
    }
    return nullptr;
}

// The place to ask for a piece now; each failure goes on to the next one.
PieceSource AgentNode::sourceOf(uint32_t piece, const std::vector<AgentPeer>& agents)
{
    PieceQuestion question { piece, this->settings.ip, this->settings.place.regionOf[this->settings.place.dataCentre], {} };
    if (const auto* origin = this->originService())
        question.originRegion = this->settings.place.regionOf[origin->originDataCentre];
    auto sources = pieceSources(question, agents);
    return sources[this->rounds[piece] % sources.size()];
}

void AgentNode::startFetch(Fetch& fetch, uint32_t piece, const PieceSource& source, TimePoint now)
{
    const auto* origin = this->originService();
    if (source.isOrigin && !origin)
        return;
    Address address = source.isOrigin ? *origin->origin : Address { source.host, this->settings.peerPort };
    auto path = source.isOrigin ? this->dialect.engine.piecePath(this->model.name, this->manifest.version, piece) : fmt::format("{}{}/{}", piecePrefix, this->manifest.version, piece);
    if (!fetch.caller)
        fetch.caller = std::make_unique<HttpCaller>(this->loop, address);
    fetch.caller->setAddress(address);
    fetch.isRunning = true;
    fetch.piece = piece;
    fetch.version = this->manifest.version;
    fetch.isFromOrigin = source.isOrigin;
    fetch.startedAt = now;
    this->isInHand[piece] = true;
    fetch.caller->get(path, pieceTimeout, [this, &fetch](const CallResult& result) { this->endFetch(fetch, result); });
}

void AgentNode::endFetch(Fetch& fetch, const CallResult& result)
{
    fetch.isRunning = false;
    this->metrics.count("bilberry_piece_bytes_total", { { "source", fetch.isFromOrigin ? "origin" : "peer" } }, static_cast<double>(result.body.size()));
    if (fetch.version != this->manifest.version)
        return;
    bool isGood = result.status == 200 && sha256Hex(result.body) == this->manifest.digests[fetch.piece];
    if (isGood) {
        this->stage(fetch.piece, result.body);
    } else {
        this->isInHand[fetch.piece] = false;
        bool isNotYet = result.status == 404 && !fetch.isFromOrigin && ++this->denials[fetch.piece] < maxDenials;
        if (!isNotYet) {
            ++this->rounds[fetch.piece];
            this->denials[fetch.piece] = 0;
        }
        this->notBefore[fetch.piece] = Clock::now() + (fetch.isFromOrigin || isNotYet ? roundPause : Milliseconds(0));
        this->log.write(LogLevel::Info, "piece_failed", { { "piece", fetch.piece }, { "from", toText(fetch.caller->address()) }, { "reason", result.status == 200 ? std::string("wrong digest") : result.describe() } });
    }
    this->startFetches(Clock::now());
}

// Writes a verified piece to the engine's stage.
void AgentNode::stage(uint32_t piece, std::string bytes)
{
    HttpRequest request;
    request.method = "PUT";
    request.path = this->dialect.engine.stageWritePath(this->model.name, piece);
    request.headers.emplace_back("Content-Type", "application/octet-stream");
    request.body = std::move(bytes);
    uint32_t version = this->manifest.version;
    this->localCaller().call(request, engineTimeout, [this, version, piece](const CallResult& result) {
        if (this->manifest.version != version)
            return;
        this->isInHand[piece] = false;
        this->isStaged[piece] = result.status >= 200 && result.status < 300;
        if (!this->isStaged[piece]) {
            this->log.write(LogLevel::Warning, "stage_failed", { { "piece", piece }, { "reason", result.describe() } });
            return;
        }
        this->answerHeld(piece);
        this->orderWhenReady(Clock::now());
    });
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

// Peers ask for /pieces/VERSION/PIECE and /manifests/VERSION.
void AgentNode::answerPeer(const std::shared_ptr<ServerExchange>& exchange)
{
    const auto& path = exchange->request().path;
    std::vector<std::string> words = absl::StrSplit(path, '/', absl::SkipEmpty());
    uint32_t version = 0;
    uint32_t piece = 0;
    bool asksPiece = words.size() == 3 && words[0] == "pieces" && absl::SimpleAtoi(words[1], &version) && absl::SimpleAtoi(words[2], &piece);
    bool asksManifest = words.size() == 2 && words[0] == "manifests" && absl::SimpleAtoi(words[1], &version);
    bool isHere = this->manifest.version == version && version != 0;
    this->hintedVersion = std::max(this->hintedVersion, asksPiece ? version : 0);
    bool isComing = version > this->manifest.version && version <= this->wantedVersion();
    bool isServed = this->report && serves(*this->report, this->model, version);
    if (asksPiece && isHere && piece < this->manifest.digests.size()) {
        this->answerPiece(exchange, piece);
    } else if (asksPiece && isComing && !isServed) {
        this->held.push_back({ exchange, piece, version, Clock::now() + holdTime });
    } else if (asksPiece && isServed) {
        this->upload({ exchange, piece, false });
    } else if (asksManifest && isHere) {
        exchange->answer(200, { { "Content-Type", "application/msgpack" } }, encodeManifest(this->manifest));
    } else {
        exchange->answer(404, {}, {});
    }
}

void AgentNode::answerPiece(const std::shared_ptr<ServerExchange>& exchange, uint32_t piece)
{
    if (this->isStaged[piece])
        this->upload({ exchange, piece, true });
    else
        this->held.push_back({ exchange, piece, this->manifest.version, Clock::now() + holdTime });
}

// Pieces leave one after the other, at a pace that leaves room on the VM's link for the answers of its engine.
void AgentNode::upload(Upload request)
{
    this->uploads.push_back(std::move(request));
    if (this->uploads.size() == 1)
        this->sendNextUpload();
}

void AgentNode::sendNextUpload()
{
    auto now = Clock::now();
    if (now < this->nextUploadAt) {
        this->uploadTimer.expires_at(this->nextUploadAt);
        this->uploadTimer.async_wait([this](const boost::system::error_code& error) {
            if (hasFired(this->uploadTimer, error))
                this->sendNextUpload();
        });
        return;
    }
    auto next = std::move(this->uploads.front());
    this->uploads.pop_front();
    this->nextUploadAt = now + uploadTime(this->model.chunkBytes, this->settings.linkMegabits);
    if (next.isVerified)
        this->sendStaged(next.exchange, next.piece);
    else
        this->sendUnverified(next.exchange, next.piece);
    if (!this->uploads.empty())
        this->sendNextUpload();
}

// Sends a piece of the version that the engine serves, whose digests aren't known here; the peer checks it.
void AgentNode::sendUnverified(const std::shared_ptr<ServerExchange>& exchange, uint32_t piece)
{
    this->localCaller().get(this->dialect.engine.stageReadPath(this->model.name, piece), engineTimeout, [exchange](const CallResult& result) {
        exchange->answer(result.status == 200 ? 200 : 404, {}, result.status == 200 ? result.body : std::string());
    });
}

// Sends a piece as it lies on the stage, unless it has turned bad there.
void AgentNode::sendStaged(const std::shared_ptr<ServerExchange>& exchange, uint32_t piece)
{
    uint32_t version = this->manifest.version;
    this->localCaller().get(this->dialect.engine.stageReadPath(this->model.name, piece), engineTimeout, [this, exchange, version, piece](const CallResult& result) {
        bool isCurrent = this->manifest.version == version;
        bool isGood = isCurrent && result.status == 200 && sha256Hex(result.body) == this->manifest.digests[piece];
        if (isCurrent && !isGood)
            this->isStaged[piece] = false;
        exchange->answer(isGood ? 200 : 404, {}, isGood ? result.body : std::string());
    });
}

void AgentNode::answerHeld(uint32_t piece)
{
    std::vector<HeldRequest> kept;
    auto waiting = std::move(this->held);
    this->held.clear();
    for (auto& request : waiting) {
        if (request.piece == piece && request.version == this->manifest.version)
            this->upload({ request.exchange, piece, true });
        else
            kept.push_back(std::move(request));
    }
    this->held.insert(this->held.end(), std::make_move_iterator(kept.begin()), std::make_move_iterator(kept.end()));
}

void AgentNode::dropOldHeld(TimePoint now)
{
    for (auto& request : this->held) {
        if (now >= request.until)
            request.exchange->answer(404, {}, {});
    }
    auto isOld = [&](const HeldRequest& request) { return now >= request.until; };
    this->held.erase(std::remove_if(this->held.begin(), this->held.end(), isOld), this->held.end());
}

} // namespace bilberry
