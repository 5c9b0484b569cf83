/// The part of EntryNode that exchanges state with other entries and answers weights agents. While the store doesn't answer,
/// the entry brings its cluster view up to date from its peers.

#include "EntryNode.h"

#include "ProxiedRequest.h"
#include "ServerExchange.h"
#include "ServiceSummary.h"
#include "SummaryWatch.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

// Age of the cluster view from which a peer is asked for a store delta.
static constexpr Milliseconds minAgeToAskPeer { 2400 };
// Least difference in age for which a peer is asked.
static constexpr Milliseconds minAgeGainFromPeer { 300 };
// Least time between two requests for a store delta.
static constexpr Milliseconds storeDeltaInterval { 400 };
// Timeout of a request for a store delta.
static constexpr Milliseconds storeDeltaTimeout { 1000 };
// Longest duration of a version switch of an engine; after it the engine is used again as its store record says.
static constexpr Milliseconds maxWeightSwitchTime { 5000 };
// Largest number of refused requests in one message.
static constexpr size_t maxRefusalsPerMessage = 40;
static constexpr std::string_view storeDeltaPathPrefix = "/store/";
// Largest number of other entries in one service summary.
static constexpr size_t maxEntriesPerSummary = 8;

void EntryNode::fillPeerMessage(PeerMessage& message)
{
    message.isStopping = this->stopRequestedAt != TimePoint::max();
    message.viewAge = ageOf(this->clusterView, BootClock::now());
    message.dataCentre = this->settings.location.dataCentre;
    for (const auto& row : this->clusterView.endpoints.rows) {
        if (row.inFlight > 0)
            message.loads.push_back({ endpointHash(row.record.id), row.inFlight });
    }
    auto now = Clock::now();
    for (const auto& recent : this->recentCrashes) {
        if (now < recent.until)
            message.crashes.push_back(recent.report);
    }
    for (const auto& recent : this->recentNotices) {
        if (now < recent.until)
            message.notices.push_back(recent.notice);
    }
    message.refusals = refusalsSince(this->ownRefusals, now - peerReportRepeatTime, maxRefusalsPerMessage, now);
    this->hasChangesForPeers = false;
}

void EntryNode::applyPeerMessage(const PeerMessage& message)
{
    auto now = Clock::now();
    for (const auto& crash : message.crashes)
        this->crashes.addReport(crash, now);
    for (const auto& notice : message.notices)
        this->applyNotice(notice);
    for (const auto& refusal : message.refusals)
        this->refusals.addRefusal(refusal.fingerprint, now - refusal.timeSinceFirstArrival, now);
}

// Handles a notice that comes directly from an agent. It is forwarded to the peers, since an agent knows only some entries.
void EntryNode::handleAgentNotice(const EngineNotice& notice)
{
    auto isSame = [&](const RecentNotice& recent) { return recent.notice.address == notice.address; };
    auto known = std::find_if(this->recentNotices.begin(), this->recentNotices.end(), isSame);
    // An agent sends each notice several times; only the first one is forwarded to the peers.
    bool isNew = known == this->recentNotices.end() || known->notice.version != notice.version;
    if (isNew) {
        if (known != this->recentNotices.end())
            this->recentNotices.erase(known);
        this->recentNotices.push_back({ notice, Clock::now() + peerReportRepeatTime });
        this->hasChangesForPeers = true;
    }
    this->applyNotice(notice);
}

void EntryNode::applyNotice(const EngineNotice& notice)
{
    auto now = Clock::now();
    for (auto& row : this->clusterView.endpoints.rows) {
        bool isTarget = row.isListed && row.record.isModelEngine && toText(row.record.address) == notice.address;
        if (!isTarget || notice.sequence <= row.noticeSequence)
            continue;
        row.noticeSequence = notice.sequence;
        row.weightSwitchUntil = notice.version == 0 ? now + maxWeightSwitchTime : TimePoint();
        if (notice.version <= std::max(row.record.loadedLayersVersion, row.record.notifiedVersion))
            continue;
        row.record.notifiedVersion = notice.version;
        markPeerLoadUnknown(row, now);
        this->log.write(LogLevel::Info, "engine_noticed", { { "endpoint", row.record.id }, { "version", notice.version } });
        dispatchWaitingRequests(*this, row.record.service);
    }
}

// Answers a peer's request for /store/REVISION with the changes since that revision.
void EntryNode::answerStoreDelta(const std::shared_ptr<ServerExchange>& exchange)
{
    uint64_t revision = 0;
    std::string_view path = exchange->request().path;
    bool isDeltaPath = path.substr(0, storeDeltaPathPrefix.size()) == storeDeltaPathPrefix && absl::SimpleAtoi(absl::string_view(path.data() + storeDeltaPathPrefix.size(), path.size() - storeDeltaPathPrefix.size()), &revision);
    if (!isDeltaPath || !this->clusterView.isConfirmed) {
        exchange->sendResponse(isDeltaPath ? 503 : 404, {}, {});
        return;
    }
    StoreDelta delta { ageOf(this->clusterView, BootClock::now()), this->storeReplica.revision, changesAfter(this->storeReplica, revision) };
    exchange->sendResponse(200, { { "Content-Type", "application/msgpack" } }, encodeStoreDelta(delta));
}

// Requests a store delta from the peer with the most recent cluster view while the store doesn't answer.
void EntryNode::requestStoreDelta(TimePoint now)
{
    auto age = ageOf(this->clusterView, BootClock::now());
    bool isDue = (age > minAgeToAskPeer || (this->isStoreUnreachable && age > minAgeGainFromPeer)) && now - this->deltaRequestedAt >= storeDeltaInterval && !this->peerCaller.isBusy();
    if (!isDue)
        return;
    auto peer = freshestPeer(this->peers.table(), age == Milliseconds::max() ? age : age - minAgeGainFromPeer, now);
    if (peer.empty())
        return;
    this->deltaRequestedAt = now;
    this->peerCaller.setAddress({ peer, this->settings.peerPort });
    auto sentAt = BootClock::now();
    this->peerCaller.get(fmt::format("{}{}", storeDeltaPathPrefix, this->storeReplica.revision), storeDeltaTimeout, [this, peer, sentAt](const CallResult& result) { this->applyStoreDelta(result, peer, sentAt); });
}

void EntryNode::applyStoreDelta(const CallResult& result, const std::string& peer, BootTimePoint sentAt)
{
    auto delta = result.status == 200 ? decodeStoreDelta(result.body) : absl::StatusOr<StoreDelta>(absl::UnavailableError(result.describe()));
    if (!delta.ok()) {
        this->log.write(LogLevel::Info, "peer_call_failed", { { "peer", peer }, { "reason", std::string(delta.status().message()) } });
        return;
    }
    // The peer measures the age after the request was sent, so its view is at least as recent as this.
    auto peerConfirmedAt = sentAt - delta->age;
    if (this->clusterView.isConfirmed && peerConfirmedAt <= this->clusterView.confirmedAt)
        return;
    if (!this->isViewFromPeer) {
        this->isViewFromPeer = true;
        this->log.write(LogLevel::Info, "took_peers_belief", { { "peer", peer }, { "age_ms", delta->age }, { "changes", static_cast<uint64_t>(delta->changes.size()) } });
    }
    auto now = Clock::now();
    const auto& bounds = this->settings.reloadable;
    this->clusterView.namingTimeOffset = this->clusterView.isConfirmed ? Milliseconds(0) : std::max(Milliseconds(0), bounds.maxVersionSwitchTime - bounds.recoveryGracePeriod);
    this->confirmView(peerConfirmedAt);
    for (const auto& change : delta->changes)
        this->applyChange(change, now);
    this->clusterView.namingTimeOffset = Milliseconds(0);
    if (!delta->changes.empty())
        this->dispatchRequestsAwaitingConfiguration(now);
}

// Copies the loads that the peers report into the table of endpoints.
void EntryNode::updatePeerLoads(TimePoint now)
{
    const auto& table = this->peers.table();
    bool areLoadsCurrent = haveAllPeersReported(table, now);
    for (auto& row : this->clusterView.endpoints.rows) {
        if (row.record.id.empty())
            continue;
        row.peersInFlight = peersInFlight(table, endpointHash(row.record.id), now);
        row.arePeerLoadsCurrent = areLoadsCurrent;
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
    this->pendingSummaryRequests.push_back({ exchange, fields[2], newestKnownVersion, now + (urgency != 0 ? Milliseconds(0) : summaryHoldTime) });
    this->answerDueSummaryRequests(now);
}

std::optional<ServiceSummary> EntryNode::makeSummary(const std::string& service, TimePoint now) const
{
    auto summary = this->clusterView.isConfirmed ? summarizeService(this->clusterView, service, now) : std::nullopt;
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
        const auto& summary = summaries[request.service];
        request.exchange->sendResponse(summary ? 200 : 503, { { "Content-Type", "application/msgpack" } }, summary ? encodeServiceSummary(*summary) : std::string());
    }
}

} // namespace bilberry
