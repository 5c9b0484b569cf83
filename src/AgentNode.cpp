#include "AgentNode.h"

#include "PieceManifest.h"
#include "ProcessMetrics.h"
#include "ServerExchange.h"
#include "Withholding.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bilberry {

// Interval between two calls of tick().
static constexpr Milliseconds tickInterval { 50 };
// Interval between requests for the engine's report.
static constexpr Milliseconds reportInterval { 300 };
// Interval between report requests while the engine carries out a load order and while entries are notified.
static constexpr Milliseconds busyReportInterval { 100 };
// Limit of concurrent fetches of pieces from all sources.
static constexpr size_t maxConcurrentFetches = 16;
// Largest answer of the engine, which is a report or a piece, and largest manifest.
static constexpr size_t maxEngineAnswerBytes = 4 << 20;
static constexpr size_t maxManifestBytes = 4 << 20;

bool servesVersion(const EngineReport& report, const ServedModel& model, uint32_t version)
{
    return report.loadedLayers >= model.layerCount && report.loadedLayersVersion == version && version != 0;
}

static Milliseconds unixTime()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

static SummaryWatchSettings makeSummaryWatchSettings(const NodeSettings& settings)
{
    SummaryWatchSettings watchSettings { settings.ownIp, settings.location.dataCentre, settings.peerPort, {}, settings.service };
    for (const auto& seed : settings.seedAddresses)
        watchSettings.seeds.push_back(seed.host);
    return watchSettings;
}

AgentNode::AgentNode(EventLoop& loop, const NodeSettings& settings, const ProtocolAdapter& adapter, EventLog& log)
    : loop(loop)
    , settings(settings)
    , adapter(adapter)
    , log(log)
    , timer(loop)
    , uploadTimer(loop)
    , cutOffReport(this->metrics, log)
    , connectionMemory(std::make_shared<ConnectionMemory>(loop))
    , peerServer(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerPeerRequest(exchange); })
    , metricsServer(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->answerMetrics(exchange); })
    , summaryWatch(loop, makeSummaryWatchSettings(settings), { [this](const ServiceSummary& summary) { this->handleSummary(summary); }, [this](const std::string& reason) { this->handleEntriesLost(reason); } })
    , reportCaller(loop, *settings.engineAddress)
    , manifestCaller(loop, *settings.engineAddress)
    , orderCaller(loop, *settings.engineAddress)
    , noticeSender(loop, settings.ownIp, settings.peerPort)
{
    this->reportCaller.setMaxResponseBytes(maxEngineAnswerBytes);
    this->manifestCaller.setMaxResponseBytes(maxManifestBytes);
    this->orderCaller.setMaxResponseBytes(maxEngineAnswerBytes);
    this->fetchWindow.nominalBytesPerSecond = settings.linkMegabitsPerSecond * 1e6 / 8;
    for (size_t i = 0; i < maxConcurrentFetches; ++i)
        this->fetches.push_back(std::make_unique<Fetch>());
}

AgentNode::~AgentNode() = default;

void AgentNode::shareConnectionMemory()
{
    this->connectionMemory->onCutOff([this](CutOffCause cause, size_t heldBytes) { this->cutOffReport.note(cause, heldBytes, Clock::now()); });
    this->peerServer.shareMemory(this->connectionMemory);
    this->metricsServer.shareMemory(this->connectionMemory);
    auto descriptors = static_cast<size_t>(this->settings.maxFileDescriptors);
    ServerLimits limits;
    this->connectionMemory->setLimits(makeRequestMemoryLimits(this->settings.vmMemoryBytes, limits.maxBodyBytes));
    limits.maxConnections = maxPeerConnections(this->settings.vmMemoryBytes, descriptors);
    this->peerServer.setLimits(limits);
    limits.maxConnections = maxObserverConnections(this->settings.vmMemoryBytes, descriptors);
    this->metricsServer.setLimits(limits);
}

absl::Status AgentNode::start()
{
    this->shareConnectionMemory();
    auto status = this->peerServer.listen({ this->settings.ownIp, this->settings.peerPort });
    if (status.ok() && this->settings.metricsListenAddress)
        status = this->metricsServer.listen(*this->settings.metricsListenAddress);
    if (!status.ok())
        return status;
    this->summaryWatch.start();
    this->tick();
    return absl::OkStatus();
}

void AgentNode::reload(const ReloadableSettings& bounds)
{
    this->settings.reloadable = bounds;
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
    if (now - this->reportRequestedAt >= (this->isSwitching() || now < this->noticeUntil ? busyReportInterval : reportInterval))
        this->requestReport();
    if (this->serviceSummary && this->engineReport) {
        this->fetchManifestIfNeeded(this->wantedVersion());
        this->startFetches(now);
        this->orderLoadWhenReady(now);
        // While a version is being fetched, the set of agents that hold it changes quickly, so summaries are requested without
        // the usual wait.
        this->summaryWatch.setUrgent(!servesVersion(*this->engineReport, this->serviceSummary->model, this->wantedVersion()));
    }
    this->expirePendingRequests(now);
    this->scheduleTick();
}

// Whether the version that the engine was last ordered to load isn't there yet.
bool AgentNode::isSwitching() const
{
    return this->orderedVersion != 0 && this->engineReport && !servesVersion(*this->engineReport, this->serviceSummary->model, this->orderedVersion);
}

void AgentNode::answerMetrics(const std::shared_ptr<ServerExchange>& exchange)
{
    updateProcessMetrics(this->metrics);
    auto missing = std::count(this->isPieceStaged.begin(), this->isPieceStaged.end(), false);
    this->metrics.setGauge("bilberry_weights_version", this->engineReport ? this->engineReport->loadedLayersVersion : 0);
    this->metrics.setGauge("bilberry_weights_wanted_version", this->wantedVersion());
    this->metrics.setGauge("bilberry_pieces_missing", static_cast<double>(missing));
    this->metrics.setGauge("bilberry_log_lines_dropped", static_cast<double>(this->log.droppedLines()));
    exchange->sendResponse(200, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.serialize());
}

void AgentNode::handleSummary(const ServiceSummary& newSummary)
{
    auto now = Clock::now();
    if (this->areEntriesUnreachable) {
        this->areEntriesUnreachable = false;
        this->log.write(LogLevel::Info, "entries_regained", { { "entry", this->summaryWatch.currentEntry() }, { "age_ms", newSummary.age } });
    }
    this->serviceSummary = newSummary;
    for (const auto& version : newSummary.namedVersions)
        this->recordNamedVersion(version, BootClock::now());
    if (!this->engineReport)
        return;
    auto earlierTrust = this->loadOrder.trust;
    this->judgeEarlierOrders();
    this->guardLayers(earlierTrust);
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
    this->reportCaller.get(std::string(this->adapter.engine.reportPath), engineTimeout, [this](const CallResult& result) {
        auto parsed = result.status == 200 ? this->adapter.engine.parseReport(result.body) : absl::StatusOr<EngineReport>(absl::UnavailableError(result.describe()));
        if (parsed.ok()) {
            this->handleReport(*parsed, Clock::now());
            return;
        }
        if (this->engineReport)
            this->log.write(LogLevel::Warning, "engine_lost", { { "reason", std::string(parsed.status().message()) } });
        this->engineReport.reset();
        if (this->loadOrder.trust != LoadTrust::Proven)
            this->notifyEntries(0);
        this->refusePendingPieceRequests();
    });
}

void AgentNode::handleReport(const EngineReport& newReport, TimePoint now)
{
    bool hasRestarted = this->engineReport && (this->engineReport->startedAtUnixMs != newReport.startedAtUnixMs || newReport.acceptedOrders < this->engineReport->acceptedOrders);
    bool isNew = !this->engineReport || hasRestarted;
    if (isNew) {
        // The stage may hold pieces from before the engine's start. Dropping the manifest makes the agent verify them again.
        this->log.write(LogLevel::Info, "engine_found", { { "layers", newReport.loadedLayers }, { "version", newReport.loadedLayersVersion }, { "orders", newReport.acceptedOrders } });
        this->orderedVersion = 0;
        this->manifest = PieceManifest();
        this->manifestAttempts = 0;
        this->abandonLoadOrder();
    }
    bool hasSwitched = this->engineReport && this->engineReport->loadedLayersVersion != newReport.loadedLayersVersion;
    if (hasSwitched)
        this->log.write(LogLevel::Info, "engine_switched", { { "version", newReport.loadedLayersVersion }, { "layers", newReport.loadedLayers } });
    this->engineReport = newReport;
    // An earlier process of the agent may have told entries not to use the layers.
    if (isOtherRun(this->loadOrder, newReport))
        this->areLayersFound = !this->loadOrder.isRunKnown;
    if (hasSwitched && newReport.loadedLayersVersion != 0)
        this->noticeUntil = now + noticeDuration;
    auto earlierTrust = this->loadOrder.trust;
    noteReport(this->loadOrder, newReport, unixTime());
    this->judgeEarlierOrders();
    this->guardLayers(earlierTrust);
    bool isNoticeDue = now < this->noticeUntil || (now < this->repeatNoticeUntil && !this->isSwitching());
    bool isUnderWay = this->loadOrder.isReading || this->loadOrder.isOrderInFlight;
    bool mayBeUsed = this->loadOrder.trust == LoadTrust::Proven && !isUnderWay && !this->areLayersFound;
    if (isNoticeDue && mayBeUsed && this->serviceSummary && servesVersion(newReport, this->serviceSummary->model, newReport.loadedLayersVersion))
        this->notifyEntries(newReport.loadedLayersVersion);
}

// Notifies entries directly, since the list of endpoints shows the version of an engine only after some delay. Version 0 tells
// them to send no more requests to the engine until it has switched. The entries of the own data centre, which use the engine
// most, pass the notice on.
void AgentNode::notifyEntries(uint32_t version)
{
    EngineNotice notice;
    notice.version = version;
    this->sendNotice(std::move(notice));
}

// Tells entries not to use the layers that the engine has, or may take by an order that got no answer, until it has newer ones, has
// started again, or a load is proven.
void AgentNode::withholdLayers()
{
    EngineNotice notice;
    notice.unusableVersion = this->unusableVersion();
    this->sendNotice(std::move(notice));
}

uint32_t AgentNode::unusableVersion() const
{
    uint32_t loadedVersion = this->engineReport ? this->engineReport->loadedLayersVersion : 0;
    bool isLoaded = this->loadOrder.trust == LoadTrust::Spoilt && loadedVersion != 0;
    if (isLoaded)
        return loadedVersion;
    return std::max(loadedVersion, this->orderedVersion != 0 ? this->orderedVersion : this->wantedVersion());
}

void AgentNode::sendNotice(EngineNotice notice)
{
    // Entries may miss the notice that ends this one.
    if (notice.unusableVersion != 0)
        this->repeatNoticeUntil = TimePoint::max();
    else if (notice.version == 0)
        this->repeatNoticeUntil = std::max(this->repeatNoticeUntil, Clock::now() + maxWithheldTime);
    this->noticeSequence = std::max(this->noticeSequence + 1, static_cast<uint64_t>(unixTime().count()));
    notice.address = toText(*this->settings.engineAddress);
    notice.sequence = this->noticeSequence;
    auto bytes = encodeNotice(notice);
    std::set<std::string> entries;
    for (const auto& seed : this->settings.seedAddresses)
        entries.insert(seed.host);
    if (this->serviceSummary)
        entries.insert(this->serviceSummary->entries.begin(), this->serviceSummary->entries.end());
    if (!this->summaryWatch.currentEntry().empty())
        entries.insert(this->summaryWatch.currentEntry());
    for (const auto& entry : entries)
        this->noticeSender.send(bytes, entry);
}

HttpCaller& AgentNode::idleEngineCaller()
{
    for (auto& caller : this->engineCallers) {
        if (!caller->isBusy())
            return *caller;
    }
    this->engineCallers.push_back(std::make_unique<HttpCaller>(this->loop, *this->settings.engineAddress));
    this->engineCallers.back()->setMaxResponseBytes(maxEngineAnswerBytes);
    return *this->engineCallers.back();
}

} // namespace bilberry
