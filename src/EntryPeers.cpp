/// The part of EntryNode that exchanges state with other entries and answers weights agents.

#include "EntryNode.h"

#include "EntryStatements.h"
#include "ProxiedRequest.h"
#include "ServerExchange.h"
#include "ServiceSummary.h"
#include "SummaryWatch.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>
#include <optional>

namespace bilberry {

// Time for which a refused request is kept in messages, since datagrams may be lost.
static constexpr Milliseconds refusalRepeatTime { 300 };
// Largest number of refused requests in one message.
static constexpr size_t maxRefusalsPerMessage = 40;
// Time between two searches for slow engines.
static constexpr Milliseconds slowEnginesInterval { 200 };
// Largest number of crashes of accused parts of prompts that an entry tells a new one.
static constexpr size_t maxEvidenceForNewEntry = 120;
// Largest number of crashes of refused requests that an entry tells a new one.
static constexpr size_t maxCrashesForNewEntry = 60;
// Largest number of engines with unusable layers that an entry tells a new one.
static constexpr size_t maxNoticesForNewEntry = 40;
// Least time between two log lines on the parts in the engines.
static constexpr Milliseconds engineSharesLogInterval { 1000 };
// Largest number of other entries in one service summary.
static constexpr size_t maxEntriesPerSummary = 8;

PeerExchangeHandlers EntryNode::makePeerHandlers()
{
    PeerExchangeHandlers handlers;
    handlers.fillMessage = [this](PeerMessage& message, PeerMessageScope scope) { this->fillPeerMessage(message, scope); };
    handlers.takeEndpointEvents = [this](PeerMessageScope scope) {
        auto events = this->peerReports.takeEndpointEvents(scope);
        // An entry that has just started learns at once which parts are refused.
        if (scope == PeerMessageScope::Introduction)
            events.partEvidence = evidenceOfAccusedParts(this->promptSuspects, maxEvidenceForNewEntry);
        events.dataCentre = this->settings.location.dataCentre;
        return events;
    };
    handlers.takeDemandReport = [this](PeerMessageScope scope) {
        auto report = makeDemandReport(this->demand, scope, Clock::now());
        report.dataCentre = this->settings.location.dataCentre;
        if (scope == PeerMessageScope::Near)
            report.workTimes = takeWorkTimes(this->clusterView.endpoints, Clock::now());
        return report;
    };
    handlers.onDemandReport = [this](const std::string& ip, const DemandReport& report) {
        applyDemandReport(this->demand, ip, report, Clock::now());
        applyWorkTimes(this->clusterView.endpoints, report.workTimes, Clock::now());
    };
    handlers.onMessage = [this](const PeerMessage& message) { this->applyPeerMessage(message); };
    handlers.onEndpointEvents = [this](const EndpointEvents& events) { this->applyEndpointEvents(events); };
    handlers.onNotice = [this](const EngineNotice& notice) { this->handleAgentNotice(notice); };
    return handlers;
}

void EntryNode::fillPeerMessage(PeerMessage& message, PeerMessageScope scope)
{
    auto now = Clock::now();
    message.isStopping = this->stopRequestedAt != TimePoint::max();
    message.viewAge = ageOf(this->clusterView, BootClock::now());
    message.dataCentre = this->settings.location.dataCentre;
    message.storeVersion = this->storeReplica.version;
    message.storeVersion.era = this->clusterView.era;
    message.generation = this->clusterView.routes ? this->clusterView.routes->generation : 0;
    for (const auto& row : this->clusterView.endpoints.rows) {
        if (row.inFlight > 0)
            message.loads.push_back({ endpointHash(row.record.id), row.inFlight });
    }
    this->peerReports.fillMessage(message, scope);
    // An entry that has just started learns at once which requests are refused, and which layers aren't to be used.
    if (scope == PeerMessageScope::Introduction) {
        message.crashes = reportsOfBlockedRequests(this->crashes, maxCrashesForNewEntry);
        message.notices = noticesOfUnusableLayers(this->clusterView.endpoints, maxNoticesForNewEntry);
    }
    if (scope != PeerMessageScope::Near)
        return;
    noteLoadsTold(this->clusterView.endpoints);
    // Callers come back to entries of the same data centre.
    message.refusals = refusalsSince(this->ownRefusals, now - refusalRepeatTime, maxRefusalsPerMessage, now);
    this->hasChangesForPeers = false;
}

void EntryNode::applyPeerMessage(const PeerMessage& message)
{
    auto now = Clock::now();
    bool isNear = message.dataCentre == this->settings.location.dataCentre;
    auto source = isNear ? ReportSource::SameDataCentre : ReportSource::OtherDataCentre;
    for (const auto& crash : message.crashes) {
        if (this->crashes.addReport(crash, now))
            this->peerReports.addCrash(crash, source, now);
    }
    for (const auto& notice : message.notices) {
        this->peerReports.addNotice(notice, source, now);
        this->applyNotice(notice);
    }
    for (uint32_t engine : message.switchingEngines) {
        if (this->peerReports.addSwitchingEngine(engine, source, now))
            this->applySwitchingEngine(engine, now);
    }
    for (const auto& refusal : message.refusals)
        this->refusals.addRefusal(refusal.fingerprint, now - refusal.timeSinceFirstArrival, now);
    this->updatePeerLoads(now);
}

void EntryNode::applySlowEndpoint(uint32_t endpoint, TimePoint now)
{
    for (auto& row : this->clusterView.endpoints.rows) {
        if (row.isListed && endpointHash(row.record.id) == endpoint)
            recordReportedSlow(row.responseDelay, now);
    }
}

// Tells the peers of slow engines while these serve superseded weights: a request must not reach them after the bound.
void EntryNode::reportSlowEngines(TimePoint now)
{
    if (now - this->slowEnginesReportedAt < slowEnginesInterval)
        return;
    this->slowEnginesReportedAt = now;
    for (const auto& row : this->clusterView.endpoints.rows) {
        if (!row.isListed || !row.record.isModelEngine || !isSlow(row.responseDelay, now))
            continue;
        auto servesSuperseded = [&](const LoadedModel& model) {
            auto named = this->clusterView.namedVersions.find(model.name);
            return named != this->clusterView.namedVersions.end() && supersededAt(named->second, model.version) != BootTimePoint::max();
        };
        bool servesAnySuperseded = std::any_of(row.record.models.begin(), row.record.models.end(), servesSuperseded);
        if (servesAnySuperseded && this->peerReports.addSlowEndpoint(endpointHash(row.record.id), ReportSource::Own, now))
            this->hasChangesForPeers = true;
    }
}

bool EntryNode::applyPartEvidence(const PartEvidence& evidence, TimePoint now)
{
    auto& suspects = this->promptSuspects;
    bool isClearance = evidence.crashedEndpoint == 0;
    // What the evidence shows of one part may decide whether the parts beside it are refused.
    auto affected = accusedBeside(suspects, evidence.part);
    affected.push_back(evidence.part);
    std::vector<bool> wereRefused;
    wereRefused.reserve(affected.size());
    for (uint64_t part : affected)
        wereRefused.push_back(isRefusedPart(suspects, part));
    bool hasChanged = isClearance ? clearPart(suspects, evidence.part) : addPartCrash(suspects, evidence.part, evidence.crashedEndpoint, now);
    for (size_t i = 0; i < affected.size(); ++i) {
        bool isRefused = isRefusedPart(suspects, affected[i]);
        if (isRefused == wereRefused[i])
            continue;
        if (isRefused)
            this->metrics.addToCounter("bilberry_prompt_parts_refused_total");
        this->log.write(LogLevel::Warning, isRefused ? "prompt_part_refused" : "prompt_part_cleared", { { "prompt_part", fmt::format("{:x}", affected[i]) } });
    }
    return hasChanged;
}

// Applies what a peer tells of endpoints, and passes it on.
void EntryNode::applyEndpointEvents(const EndpointEvents& events)
{
    auto now = Clock::now();
    bool isNear = events.dataCentre == this->settings.location.dataCentre;
    auto source = isNear ? ReportSource::SameDataCentre : ReportSource::OtherDataCentre;
    for (const auto& evidence : events.partEvidence) {
        if (this->applyPartEvidence(evidence, now))
            this->peerReports.addPartEvidence(evidence, source, now);
    }
    for (uint32_t endpoint : events.leavingEndpoints)
        notePeerLeaving(*this, endpoint, source, now);
    for (uint32_t endpoint : events.slowEndpoints) {
        if (this->peerReports.addSlowEndpoint(endpoint, source, now))
            this->applySlowEndpoint(endpoint, now);
    }
}

// Handles a notice that comes directly from an agent. It is passed on to the peers, since an agent knows only some entries.
void EntryNode::handleAgentNotice(const EngineNotice& notice)
{
    if (this->peerReports.addNotice(notice, ReportSource::Own, Clock::now()))
        this->hasChangesForPeers = true;
    this->applyNotice(notice);
}

void EntryNode::applySwitchingEngine(uint32_t engine, TimePoint now)
{
    for (auto& row : this->clusterView.endpoints.rows) {
        if (row.isListed && row.record.isModelEngine && endpointHash(row.record.id) == engine)
            noteSwitching(row, now);
    }
}

void EntryNode::applyNotice(const EngineNotice& notice)
{
    auto now = Clock::now();
    keepLayerNotice(this->clusterView.endpoints, notice);
    for (auto& row : this->clusterView.endpoints.rows) {
        bool isTarget = row.isListed && row.record.isModelEngine && toText(row.record.address) == notice.address;
        if (!isTarget || !noteNotice(row.withholding, notice, now))
            continue;
        row.weightSwitchUntil = TimePoint();
        if (notice.version <= std::max(row.record.loadedLayersVersion, row.record.notifiedVersion))
            continue;
        row.record.notifiedVersion = notice.version;
        markPeerLoadUnknown(row, now);
        this->log.write(LogLevel::Info, "engine_noticed", { { "endpoint", row.record.id }, { "version", notice.version } });
        dispatchWaitingRequests(*this, row.record.service);
    }
}

static bool hasSharedEngines(const ClusterView& view)
{
    if (!view.routes)
        return false;
    const auto& services = view.routes->services;
    return std::any_of(services.begin(), services.end(), [&](const ServiceSettings& service) { return sharesEngines(service, view.endpoints); });
}

// Determines this entry's parts in the engines again when the entries of its data centre or the engines there have changed.
void EntryNode::updateOwnEngineShares(const std::vector<std::string>& nearPeers, TimePoint now)
{
    auto& endpoints = this->clusterView.endpoints;
    if (!hasSharedEngines(this->clusterView))
        return;
    // Without peers in its data centre, an entry tells nobody there of its requests.
    if (nearPeers.empty())
        noteLoadsTold(endpoints);
    auto silentPeers = silentPeersInDataCentre(this->peers.table(), this->settings.location.dataCentre, now);
    if (!updateEngineShares(this->engineShareBasis, endpoints, this->settings.ownIp, this->settings.location.dataCentre, nearPeers, silentPeers, now))
        return;
    if (now - this->engineSharesLoggedAt < engineSharesLogInterval)
        return;
    this->engineSharesLoggedAt = now;
    auto counts = countEngineShares(endpoints);
    this->log.write(LogLevel::Info, "engine_shares", { { "home", counts.home }, { "taken_over", counts.takenOver }, { "guest", counts.guest }, { "heard_entries", nearPeers.size() }, { "silent_entries", silentPeers.size() } });
}

// Copies the loads that the peers report into the table of endpoints.
void EntryNode::updatePeerLoads(TimePoint now)
{
    this->peerLoadsUpdatedAt = now;
    const auto& table = this->peers.table();
    auto nearPeerIps = peersInDataCentre(table, table.ownDataCentre, table.rows.size(), now);
    this->nearPeers = static_cast<uint32_t>(nearPeerIps.size());
    this->updateOwnEngineShares(nearPeerIps, now);
    auto loads = peersInFlight(table, now);
    for (auto& row : this->clusterView.endpoints.rows) {
        if (row.record.id.empty())
            continue;
        auto found = loads.find(endpointHash(row.record.id));
        row.peersInFlight = found == loads.end() ? 0 : found->second;
        noteRoom(row.share, concurrencyLimit(row.record), estimatedLoad(row, now), now);
    }
}

// Routes a request that a peer or an agent sends to the peer port to its handler.
void EntryNode::answerPeerRequest(const std::shared_ptr<ServerExchange>& exchange)
{
    if (exchange->request().path.rfind(summaryPathPrefix, 0) == 0)
        this->handleSummaryRequest(exchange);
    else
        this->answerStoreDelta(exchange);
}

// Handles an agent's request for /briefs/NEWEST/URGENT/SERVICE: NEWEST is the newest version that the agent knows; the answer
// isn't held when URGENT isn't 0.
void EntryNode::handleSummaryRequest(const std::shared_ptr<ServerExchange>& exchange)
{
    std::vector<std::string> fields = absl::StrSplit(exchange->request().path.substr(summaryPathPrefix.size()), absl::MaxSplits('/', 2));
    uint32_t newestKnownVersion = 0;
    uint32_t urgency = 0;
    if (fields.size() != 3 || !absl::SimpleAtoi(fields[0], &newestKnownVersion) || !absl::SimpleAtoi(fields[1], &urgency)) {
        exchange->sendResponse(400, {}, {});
        return;
    }
    auto now = Clock::now();
    this->pendingSummaryRequests.push_back({ exchange, fields[2], newestKnownVersion, now + (urgency != 0 ? Milliseconds(0) : summaryHoldTime), BootClock::now() });
    this->answerDueSummaryRequests(now);
}

std::optional<ServiceSummary> EntryNode::makeSummary(const std::string& service, TimePoint now) const
{
    auto summary = this->clusterView.isConfirmed ? summarizeService(this->clusterView, service, BootClock::now()) : std::nullopt;
    if (!summary)
        return std::nullopt;
    summary->age = ageOf(this->clusterView, BootClock::now());
    summary->dataCentre = this->settings.location.dataCentre;
    summary->entries = peersInDataCentre(this->peers.table(), summary->dataCentre, maxEntriesPerSummary, now);
    return summary;
}

// Answers the pending summary requests that have reached their time limit or whose service has a newer named version.
// Requests without a summary (the service is unknown or the view isn't confirmed) are answered with 503 at once.
void EntryNode::answerDueSummaryRequests(TimePoint now)
{
    // Read before the summaries are made, so that `heldFor` is never longer than the real time.
    auto askedUntil = BootClock::now();
    std::map<std::string, std::optional<ServiceSummary>> summaries;
    auto isDue = [&](const PendingSummaryRequest& request) {
        auto [summary, isNew] = summaries.try_emplace(request.service);
        if (isNew)
            summary->second = this->makeSummary(request.service, now);
        return now >= request.until || !summary->second || newestNamedVersion(*summary->second) > request.newestKnownVersion;
    };
    auto due = std::stable_partition(this->pendingSummaryRequests.begin(), this->pendingSummaryRequests.end(), [&](const PendingSummaryRequest& request) { return !isDue(request); });
    std::vector<PendingSummaryRequest> dueRequests(std::make_move_iterator(due), std::make_move_iterator(this->pendingSummaryRequests.end()));
    this->pendingSummaryRequests.erase(due, this->pendingSummaryRequests.end());
    for (const auto& request : dueRequests) {
        auto& summary = summaries[request.service];
        if (summary)
            summary->heldFor = std::chrono::duration_cast<Milliseconds>(askedUntil - request.receivedAt);
        request.exchange->sendResponse(summary ? 200 : 503, { { "Content-Type", "application/msgpack" } }, summary ? encodeServiceSummary(*summary) : std::string());
    }
}

} // namespace bilberry
