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
static constexpr Milliseconds tickTime { 50 };
// How often the engine is asked for its state.
static constexpr Milliseconds reportInterval { 300 };
// How long entries are told of an engine that has turned to other weights.
static constexpr Milliseconds noticeTime { 700 };
// How often the engine is asked for its state while an order is carried out.
static constexpr Milliseconds busyReportInterval { 100 };
static constexpr Milliseconds manifestTimeout { 1000 };
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

static BriefWatchSettings briefSettings(const NodeSettings& settings)
{
    BriefWatchSettings brief { settings.ip, settings.place.dataCentre, settings.peerPort, {}, settings.service };
    for (const auto& seed : settings.seeds)
        brief.seeds.push_back(seed.host);
    return brief;
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
    , briefs(loop, briefSettings(settings), { [this](const ServiceBrief& brief) { this->takeBrief(brief); }, [this](const std::string& reason) { this->takeLoss(reason); } })
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
    this->briefs.start();
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
    bool isTurning = this->orderedVersion != 0 && this->report && !serves(*this->report, this->brief->model, this->orderedVersion);
    if (now - this->reportAskedAt >= (isTurning || now < this->noticeUntil ? busyReportInterval : reportInterval))
        this->readReport();
    if (this->brief && this->report) {
        this->choosePiecesFor(this->wantedVersion());
        this->startFetches(now);
        this->orderWhenReady(now);
        // While something is to be brought, who has it changes all the time.
        this->briefs.hurry(!serves(*this->report, this->brief->model, this->wantedVersion()));
    }
    this->dropOldHeld(now);
    this->armTick();
}

void AgentNode::answerMetrics(const std::shared_ptr<ServerExchange>& exchange)
{
    noteProcessFigures(this->metrics);
    auto missing = std::count(this->isStaged.begin(), this->isStaged.end(), false);
    this->metrics.set("bilberry_weights_version", this->report ? this->report->layersVersion : 0);
    this->metrics.set("bilberry_weights_wanted_version", this->wantedVersion());
    this->metrics.set("bilberry_pieces_missing", static_cast<double>(missing));
    this->metrics.set("bilberry_log_lines_dropped", static_cast<double>(this->log.dropped()));
    exchange->answer(200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.serialize());
}

void AgentNode::takeBrief(const ServiceBrief& read)
{
    auto now = Clock::now();
    if (this->areEntriesLost) {
        this->areEntriesLost = false;
        this->log.write(LogLevel::Info, "entries_regained", { { "entry", this->briefs.entry() }, { "age_ms", read.age } });
    }
    this->brief = read;
    for (const auto& version : read.named)
        this->takeNamed(version, now);
    if (!this->report)
        return;
    this->choosePiecesFor(this->wantedVersion());
    this->startFetches(now);
}

void AgentNode::takeLoss(const std::string& reason)
{
    if (this->areEntriesLost)
        return;
    this->areEntriesLost = true;
    this->log.write(LogLevel::Warning, "entries_lost", { { "reason", reason } });
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
    if (now < this->noticeUntil && serves(read, this->brief->model, read.layersVersion))
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

// Entries may have learned of a version at different times: the earliest counts.
void AgentNode::takeNamed(const BriefVersion& version, TimePoint now)
{
    auto namedAt = now - version.namedFor;
    auto [known, isNew] = this->named.try_emplace(version.version, namedAt);
    known->second = std::min(known->second, namedAt);
    if (isNew)
        this->log.write(LogLevel::Info, "weights_named", { { "version", version.version }, { "named_for_ms", version.namedFor }, { "entry", this->briefs.entry() } });
}

TimePoint AgentNode::newestNamedAt() const
{
    return this->named.empty() ? TimePoint() : this->named.rbegin()->second;
}

// The named version, or the one that the engine or its neighbours have when none was named.
uint32_t AgentNode::wantedVersion() const
{
    uint32_t wanted = std::max(this->named.empty() ? firstVersion : this->named.rbegin()->first, this->hintedVersion);
    if (this->brief) {
        for (const auto& engine : this->brief->engines)
            wanted = std::max(wanted, engine.version);
    }
    return std::max(wanted, this->report ? this->report->layersVersion : 0);
}

// Begins to bring a version, unless the engine has it or it is being brought.
void AgentNode::choosePiecesFor(uint32_t version)
{
    if (!serves(*this->report, this->brief->model, version) && this->manifest.version != version)
        this->fetchManifest();
}

std::vector<AgentPeer> AgentNode::agentsFor(uint32_t version) const
{
    return listAgents(this->brief->engines, version, this->settings.place);
}

// Region of the origin of weights; empty when there is none.
std::string AgentNode::originRegion() const
{
    auto found = this->settings.place.regionOf.find(this->brief->originDataCentre);
    return found == this->settings.place.regionOf.end() ? std::string() : found->second;
}

void AgentNode::fetchManifest()
{
    auto now = Clock::now();
    if (this->manifestCaller.isBusy() || now - this->manifestAskedAt < manifestPause)
        return;
    this->manifestAskedAt = now;
    uint32_t version = this->wantedVersion();
    auto sources = manifestSources(this->settings.ip, this->originRegion(), this->agentsFor(version));
    const auto& source = sources[this->manifestRound++ % sources.size()];
    if (source.isOrigin && !this->brief->origin)
        return;
    this->manifestCaller.setAddress(source.isOrigin ? *this->brief->origin : Address { source.host, this->settings.peerPort });
    auto path = source.isOrigin ? this->dialect.engine.manifestPath(this->brief->model.name, version) : fmt::format("{}{}", manifestPrefix, version);
    this->manifestCaller.get(path, manifestTimeout, [this, isFromPeer = !source.isOrigin](const CallResult& result) { this->takeManifest(result, isFromPeer); });
}

void AgentNode::takeManifest(const CallResult& result, bool isFromPeer)
{
    this->manifestCaller.close();
    auto decode = isFromPeer ? decodeManifest : this->dialect.engine.readManifest;
    auto read = result.status == 200 ? decode(result.body) : absl::StatusOr<PieceDigests>(absl::UnavailableError(result.describe()));
    if (!read.ok() || read->version != this->wantedVersion() || read->model != this->brief->model.name) {
        this->log.write(LogLevel::Warning, "manifest_failed", { { "reason", read.ok() ? std::string("another version") : std::string(read.status().message()) } });
        // A peer that said at once that it has none costs no pause.
        if (isFromPeer && result.status == 404)
            this->manifestAskedAt = TimePoint();
        return;
    }
    this->manifest = *std::move(read);
    this->manifestRound = 0;
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
    this->answerHeldManifests();
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
    auto hosts = hostsOf(this->brief->engines, this->settings.place.dataCentre);
    auto base = switchBase(this->named, this->report->layersVersion);
    return base == TimePoint::max() || now - base >= switchTime(this->settings.ip, hosts, this->settings.bounds.versionSwitch);
}

void AgentNode::orderWhenReady(TimePoint now)
{
    if (!this->report || !this->brief)
        return;
    bool isComplete = this->manifest.version != 0 && std::find(this->isStaged.begin(), this->isStaged.end(), false) == this->isStaged.end();
    if (!isComplete || this->isVerifying || this->report->isBusy || serves(*this->report, this->brief->model, this->manifest.version))
        return;
    bool isOrdered = this->orderedVersion == this->manifest.version && now - this->orderedAt < orderPause;
    if (isOrdered)
        return;
    bool servesNothing = this->report->layers < this->brief->model.layers;
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
        this->localCaller().get(this->dialect.engine.stageReadPath(this->brief->model.name, piece), engineTimeout, [this, left, version, piece](const CallResult& result) {
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
    this->localCaller().call(this->dialect.engine.loadOrder(this->brief->model.name, version), engineTimeout, [this, version](const CallResult& result) {
        this->log.write(LogLevel::Info, "weights_ordered", { { "version", version }, { "answer", result.describe() }, { "since_named_ms", std::chrono::duration_cast<Milliseconds>(Clock::now() - this->newestNamedAt()) } });
    });
}

} // namespace bilberry
