#include "AgentNode.h"

#include "Digest.h"
#include "PeerMessage.h"
#include "PieceManifest.h"
#include "ProcessFigures.h"
#include "ServerExchange.h"

#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

// Time between two runs of the systems.
static constexpr Milliseconds tickInterval { 50 };
// How often the engine is asked for its state.
static constexpr Milliseconds reportInterval { 300 };
// How long entries are told of an engine that has turned to other weights.
static constexpr Milliseconds noticeDuration { 700 };
// How often the engine is asked for its state while an order is carried out.
static constexpr Milliseconds busyReportInterval { 100 };
static constexpr Milliseconds manifestTimeout { 1000 };
static constexpr Milliseconds manifestRetryInterval { 250 };
// Pieces that are fetched at a time.
static constexpr size_t maxConcurrentFetches = 16;
// Pause before an order is given again.
static constexpr Milliseconds loadOrderRetryInterval { 1500 };
// The version that engines have from the start.
static constexpr uint32_t initialVersion = 1;
static constexpr std::string_view manifestPathPrefix = "/manifests/";

bool servesVersion(const EngineReport& report, const ServedModel& model, uint32_t version)
{
    return report.loadedLayers >= model.layerCount && report.loadedLayersVersion == version && version != 0;
}

static SummaryWatchSettings makeSummaryWatchSettings(const NodeSettings& settings)
{
    SummaryWatchSettings brief { settings.ip, settings.place.dataCentre, settings.peerPort, {}, settings.service };
    for (const auto& seed : settings.seeds)
        brief.seeds.push_back(seed.host);
    return brief;
}

AgentNode::AgentNode(EventLoop& loop, const NodeSettings& settings, const ProtocolAdapter& dialect, EventLog& log)
    : loop(loop)
    , settings(settings)
    , dialect(dialect)
    , log(log)
    , timer(loop)
    , uploadTimer(loop)
    , peerServer(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerPeerRequest(exchange); })
    , metricsServer(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerMetrics(exchange); })
    , summaryWatch(loop, makeSummaryWatchSettings(settings), { [this](const ServiceSummary& brief) { this->handleSummary(brief); }, [this](const std::string& reason) { this->handleEntriesLost(reason); } })
    , reportCaller(loop, *settings.engine)
    , manifestCaller(loop, *settings.engine)
    , noticeSender(loop, settings.ip, settings.peerPort)
{
    for (size_t i = 0; i < maxConcurrentFetches; ++i)
        this->fetches.push_back(std::make_unique<Fetch>());
}

AgentNode::~AgentNode() = default;

absl::Status AgentNode::start()
{
    auto status = this->peerServer.listen({ this->settings.ip, this->settings.peerPort });
    if (status.ok() && this->settings.metricsListen)
        status = this->metricsServer.listen(*this->settings.metricsListen);
    if (!status.ok())
        return status;
    this->summaryWatch.start();
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

void AgentNode::scheduleTick()
{
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const boost::system::error_code& error) {
        if (hasFired(this->timer, error))
            this->tick();
    });
}

void AgentNode::tick()
{
    auto now = Clock::now();
    bool isTurning = this->orderedVersion != 0 && this->engineReport && !servesVersion(*this->engineReport, this->brief->model, this->orderedVersion);
    if (now - this->reportRequestedAt >= (isTurning || now < this->noticeUntil ? busyReportInterval : reportInterval))
        this->requestReport();
    if (this->brief && this->engineReport) {
        this->fetchManifestIfNeeded(this->wantedVersion());
        this->startFetches(now);
        this->orderLoadWhenReady(now);
        // While something is to be brought, who has it changes all the time.
        this->summaryWatch.setUrgent(!servesVersion(*this->engineReport, this->brief->model, this->wantedVersion()));
    }
    this->expirePendingRequests(now);
    this->scheduleTick();
}

void AgentNode::answerMetrics(const std::shared_ptr<ServerExchange>& exchange)
{
    noteProcessFigures(this->metrics);
    auto missing = std::count(this->isPieceStaged.begin(), this->isPieceStaged.end(), false);
    this->metrics.set("bilberry_weights_version", this->engineReport ? this->engineReport->loadedLayersVersion : 0);
    this->metrics.set("bilberry_weights_wanted_version", this->wantedVersion());
    this->metrics.set("bilberry_pieces_missing", static_cast<double>(missing));
    this->metrics.set("bilberry_log_lines_dropped", static_cast<double>(this->log.dropped()));
    exchange->answer(200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.serialize());
}

void AgentNode::handleSummary(const ServiceSummary& read)
{
    auto now = Clock::now();
    if (this->areEntriesUnreachable) {
        this->areEntriesUnreachable = false;
        this->log.write(LogLevel::Info, "entries_regained", { { "entry", this->summaryWatch.currentEntry() }, { "age_ms", read.age } });
    }
    this->brief = read;
    for (const auto& version : read.namedVersions)
        this->recordNamedVersion(version, now);
    if (!this->engineReport)
        return;
    this->fetchManifestIfNeeded(this->wantedVersion());
    this->startFetches(now);
}

void AgentNode::handleEntriesLost(const std::string& reason)
{
    if (this->areEntriesUnreachable)
        return;
    this->areEntriesUnreachable = true;
    this->log.write(LogLevel::Warning, "entries_lost", { { "reason", reason } });
}

void AgentNode::requestReport()
{
    if (this->reportCaller.isBusy())
        return;
    this->reportRequestedAt = Clock::now();
    this->reportCaller.get(std::string(this->dialect.engine.reportPath), engineTimeout, [this](const CallResult& result) {
        auto read = result.status == 200 ? this->dialect.engine.parseReport(result.body) : absl::StatusOr<EngineReport>(absl::UnavailableError(result.describe()));
        if (read.ok()) {
            this->handleReport(*read, Clock::now());
            return;
        }
        if (this->engineReport)
            this->log.write(LogLevel::Warning, "engine_lost", { { "reason", std::string(read.status().message()) } });
        this->engineReport.reset();
    });
}

void AgentNode::handleReport(const EngineReport& read, TimePoint now)
{
    bool isOther = this->engineReport && (this->engineReport->startedAtUnixMs != read.startedAtUnixMs || read.acceptedOrders < this->engineReport->acceptedOrders);
    bool isNew = !this->engineReport || isOther;
    if (isNew) {
        // What is staged may be from before the engine's start; it is checked before it is used.
        this->log.write(LogLevel::Info, "engine_found", { { "layers", read.loadedLayers }, { "version", read.loadedLayersVersion }, { "orders", read.acceptedOrders } });
        this->orderedVersion = 0;
        this->manifest = PieceDigests();
    }
    bool hasSwitched = this->engineReport && this->engineReport->loadedLayersVersion != read.loadedLayersVersion;
    if (hasSwitched)
        this->log.write(LogLevel::Info, "engine_switched", { { "version", read.loadedLayersVersion }, { "layers", read.loadedLayers } });
    this->engineReport = read;
    if (hasSwitched && read.loadedLayersVersion != 0)
        this->noticeUntil = now + noticeDuration;
    if (now < this->noticeUntil && servesVersion(read, this->brief->model, read.loadedLayersVersion))
        this->notifyEntries(read.loadedLayersVersion);
}

// The list of endpoints shows what an engine holds only some time later.
void AgentNode::notifyEntries(uint32_t version)
{
    auto startedAt = static_cast<uint64_t>(this->engineReport->startedAtUnixMs.value_or(0));
    auto bytes = encodeNotice({ toText(*this->settings.engine), version, startedAt + ++this->noticeCount });
    for (const auto& seed : this->settings.seeds)
        this->noticeSender.send(bytes, seed.host);
}

// Entries may have learned of a version at different times: the earliest counts.
void AgentNode::recordNamedVersion(const SummaryVersion& version, TimePoint now)
{
    auto namedAt = now - version.namedFor;
    auto [known, isNew] = this->namedVersions.try_emplace(version.version, namedAt);
    known->second = std::min(known->second, namedAt);
    if (isNew)
        this->log.write(LogLevel::Info, "weights_named", { { "version", version.version }, { "named_for_ms", version.namedFor }, { "entry", this->summaryWatch.currentEntry() } });
}

TimePoint AgentNode::newestNamedAt() const
{
    return this->namedVersions.empty() ? TimePoint() : this->namedVersions.rbegin()->second;
}

// The named version, or the one that the engine or its neighbours have when none was named.
uint32_t AgentNode::wantedVersion() const
{
    uint32_t wanted = std::max(this->namedVersions.empty() ? initialVersion : this->namedVersions.rbegin()->first, this->peerRequestedVersion);
    if (this->brief) {
        for (const auto& engine : this->brief->engines)
            wanted = std::max(wanted, engine.version);
    }
    return std::max(wanted, this->engineReport ? this->engineReport->loadedLayersVersion : 0);
}

// Begins to bring a version, unless the engine has it or it is being brought.
void AgentNode::fetchManifestIfNeeded(uint32_t version)
{
    if (!servesVersion(*this->engineReport, this->brief->model, version) && this->manifest.version != version)
        this->fetchManifest();
}

std::vector<AgentPeer> AgentNode::agentsFor(uint32_t version) const
{
    return listAgents(this->brief->engines, version, this->settings.place);
}

// Region of the origin of weights; empty when there is none.
std::string AgentNode::originRegion() const
{
    auto found = this->settings.place.regionByDataCentre.find(this->brief->originDataCentre);
    return found == this->settings.place.regionByDataCentre.end() ? std::string() : found->second;
}

void AgentNode::fetchManifest()
{
    auto now = Clock::now();
    if (this->manifestCaller.isBusy() || now - this->manifestRequestedAt < manifestRetryInterval)
        return;
    this->manifestRequestedAt = now;
    uint32_t version = this->wantedVersion();
    auto sources = manifestSources(this->settings.ip, this->originRegion(), this->agentsFor(version));
    const auto& source = sources[this->manifestAttempts++ % sources.size()];
    if (source.isOrigin && !this->brief->origin)
        return;
    this->manifestCaller.setAddress(source.isOrigin ? *this->brief->origin : Address { source.host, this->settings.peerPort });
    auto path = source.isOrigin ? this->dialect.engine.manifestPath(this->brief->model.name, version) : fmt::format("{}{}", manifestPathPrefix, version);
    this->manifestCaller.get(path, manifestTimeout, [this, isFromPeer = !source.isOrigin](const CallResult& result) { this->handleManifest(result, isFromPeer); });
}

void AgentNode::handleManifest(const CallResult& result, bool isFromPeer)
{
    this->manifestCaller.close();
    auto decode = isFromPeer ? decodeManifest : this->dialect.engine.parseManifest;
    auto read = result.status == 200 ? decode(result.body) : absl::StatusOr<PieceDigests>(absl::UnavailableError(result.describe()));
    if (!read.ok() || read->version != this->wantedVersion() || read->model != this->brief->model.name) {
        this->log.write(LogLevel::Warning, "manifest_failed", { { "reason", read.ok() ? std::string("another version") : std::string(read.status().message()) } });
        // A peer that said at once that it has none costs no pause.
        if (isFromPeer && result.status == 404)
            this->manifestRequestedAt = TimePoint();
        return;
    }
    this->manifest = *std::move(read);
    this->manifestAttempts = 0;
    size_t count = this->manifest.digests.size();
    this->isPieceStaged.assign(count, false);
    this->isPieceInProgress.assign(count, false);
    this->failedSourceCounts.assign(count, 0);
    this->notFoundCounts.assign(count, 0);
    this->earliestRetryAt.assign(count, TimePoint());
    this->log.write(LogLevel::Info, "weights_begun", { { "version", this->manifest.version }, { "pieces", static_cast<uint64_t>(count) } });
    // What an earlier process or version staged may serve.
    for (uint32_t piece = 0; piece < count; ++piece)
        this->verifyStagedPiece(piece);
    this->answerPendingManifestRequests();
}

HttpCaller& AgentNode::idleEngineCaller()
{
    for (auto& caller : this->engineCallers) {
        if (!caller->isBusy())
            return *caller;
    }
    this->engineCallers.push_back(std::make_unique<HttpCaller>(this->loop, *this->settings.engine));
    return *this->engineCallers.back();
}

// Whether this engine may turn to new weights now.
bool AgentNode::isSwitchDue(TimePoint now) const
{
    auto hosts = engineHostsIn(this->brief->engines, this->settings.place.dataCentre);
    auto base = supersededAt(this->namedVersions, this->engineReport->loadedLayersVersion);
    return base == TimePoint::max() || now - base >= switchDelay(this->settings.ip, hosts, this->settings.bounds.versionSwitch);
}

void AgentNode::orderLoadWhenReady(TimePoint now)
{
    if (!this->engineReport || !this->brief)
        return;
    bool isComplete = this->manifest.version != 0 && std::find(this->isPieceStaged.begin(), this->isPieceStaged.end(), false) == this->isPieceStaged.end();
    if (!isComplete || this->isVerifying || this->engineReport->isBusy || servesVersion(*this->engineReport, this->brief->model, this->manifest.version))
        return;
    bool isOrdered = this->orderedVersion == this->manifest.version && now - this->loadOrderedAt < loadOrderRetryInterval;
    if (isOrdered)
        return;
    bool servesNothing = this->engineReport->loadedLayers < this->brief->model.layerCount;
    if (!servesNothing && !this->isSwitchDue(now))
        return;
    // Entries send nothing more while the pieces are read back.
    if (!servesNothing)
        this->notifyEntries(0);
    // Reads all pieces back right before the order: what is staged may have turned bad.
    this->isVerifying = true;
    auto left = std::make_shared<size_t>(this->manifest.digests.size());
    uint32_t version = this->manifest.version;
    for (uint32_t piece = 0; piece < this->manifest.digests.size(); ++piece) {
        this->idleEngineCaller().get(this->dialect.engine.stageReadPath(this->brief->model.name, piece), engineTimeout, [this, left, version, piece](const CallResult& result) {
            bool isCurrent = this->manifest.version == version;
            if (isCurrent)
                this->isPieceStaged[piece] = result.status == 200 && sha256Hex(result.body) == this->manifest.digests[piece];
            if (--*left > 0)
                return;
            this->isVerifying = false;
            bool isGood = isCurrent && std::find(this->isPieceStaged.begin(), this->isPieceStaged.end(), false) == this->isPieceStaged.end();
            if (isGood)
                this->orderLoad();
        });
    }
}

void AgentNode::orderLoad()
{
    this->loadOrderedAt = Clock::now();
    this->orderedVersion = this->manifest.version;
    uint32_t version = this->manifest.version;
    this->idleEngineCaller().call(this->dialect.engine.makeLoadOrder(this->brief->model.name, version), engineTimeout, [this, version](const CallResult& result) {
        this->log.write(LogLevel::Info, "weights_ordered", { { "version", version }, { "answer", result.describe() }, { "since_named_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - this->newestNamedAt()) } });
    });
}

} // namespace bilberry
