/// The part of an entry that exchanges knowledge with other entries and with weights agents.

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

// Age of belief from which on a peer is asked, how much newer its knowledge must be, and how often.
static constexpr Milliseconds minAgeToAskPeer { 2400 };
static constexpr Milliseconds minAgeGainFromPeer { 300 };
static constexpr Milliseconds storeDeltaInterval { 400 };
static constexpr Milliseconds storeDeltaTimeout { 1000 };
// Longest time that an engine takes to turn to other weights; after it the list is believed again.
static constexpr Milliseconds maxWeightSwitchTime { 5000 };
// Refused requests that one message names.
static constexpr size_t maxRefusalsPerMessage = 40;
static constexpr std::string_view storeDeltaPathPrefix = "/store/";
// Other entries that a brief names.
static constexpr size_t maxEntriesPerSummary = 8;

void EntryNode::fillPeerMessage(PeerMessage& message)
{
    message.isStopping = this->stopRequestedAt != TimePoint::max();
    message.viewAge = ageOf(this->clusterView, BootClock::now());
    message.dataCentre = this->settings.place.dataCentre;
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
    message.refusals = refusalsSince(this->ownRefusals, now - gossipRepeatTime, maxRefusalsPerMessage, now);
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

// From the agent itself: the peers are told, since an agent knows only some entries.
void EntryNode::handleAgentNotice(const EngineNotice& notice)
{
    auto isSame = [&](const RecentNotice& recent) { return recent.notice.address == notice.address; };
    auto known = std::find_if(this->recentNotices.begin(), this->recentNotices.end(), isSame);
    // An agent says the same several times; the peers needn't hear all of it.
    bool isNews = known == this->recentNotices.end() || known->notice.version != notice.version;
    if (isNews) {
        if (known != this->recentNotices.end())
            this->recentNotices.erase(known);
        this->recentNotices.push_back({ notice, Clock::now() + gossipRepeatTime });
        this->hasChangesForPeers = true;
    }
    this->applyNotice(notice);
}

void EntryNode::applyNotice(const EngineNotice& notice)
{
    auto now = Clock::now();
    for (auto& row : this->clusterView.endpoints.rows) {
        bool isIt = row.isListed && row.record.isModelEngine && toText(row.record.address) == notice.address;
        if (!isIt || notice.sequence <= row.noticeSequence)
            continue;
        row.noticeSequence = notice.sequence;
        row.weightSwitchUntil = notice.version == 0 ? now + maxWeightSwitchTime : TimePoint();
        if (notice.version <= std::max(row.record.loadedLayersVersion, row.record.notifiedVersion))
            continue;
        row.record.notifiedVersion = notice.version;
        noteNewlyUsable(row, now);
        this->log.write(LogLevel::Info, "engine_noticed", { { "endpoint", row.record.id }, { "version", notice.version } });
        dispatchWaitingRequests(*this, row.record.service);
    }
}

// Peers ask for /store/REVISION: what has changed since.
void EntryNode::answerStoreDelta(const std::shared_ptr<ServerExchange>& exchange)
{
    uint64_t revision = 0;
    std::string_view path = exchange->request().path;
    bool isKnown = path.substr(0, storeDeltaPathPrefix.size()) == storeDeltaPathPrefix && absl::SimpleAtoi(absl::string_view(path.data() + storeDeltaPathPrefix.size(), path.size() - storeDeltaPathPrefix.size()), &revision);
    if (!isKnown || !this->clusterView.isConfirmed) {
        exchange->answer(isKnown ? 503 : 404, {}, {});
        return;
    }
    StoreDelta excerpt { ageOf(this->clusterView, BootClock::now()), this->storeReplica.revision, changesAfter(this->storeReplica, revision) };
    exchange->answer(200, { { "Content-Type", "application/msgpack" } }, encodeStoreDelta(excerpt));
}

// While the store doesn't answer, lives from the peer that knows it best.
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
    auto excerpt = result.status == 200 ? decodeStoreDelta(result.body) : absl::StatusOr<StoreDelta>(absl::UnavailableError(result.describe()));
    if (!excerpt.ok()) {
        this->log.write(LogLevel::Info, "peer_call_failed", { { "peer", peer }, { "reason", std::string(excerpt.status().message()) } });
        return;
    }
    // What the peer knew when it answered is at least as new as what it knew when it was asked.
    auto knownAt = sentAt - excerpt->age;
    if (this->clusterView.isConfirmed && knownAt <= this->clusterView.confirmedAt)
        return;
    if (!this->usesPeerKnowledge) {
        this->usesPeerKnowledge = true;
        this->log.write(LogLevel::Info, "took_peers_belief", { { "peer", peer }, { "age_ms", excerpt->age }, { "changes", static_cast<uint64_t>(excerpt->changes.size()) } });
    }
    auto now = Clock::now();
    const auto& bounds = this->settings.bounds;
    this->clusterView.namingTimeOffset = this->clusterView.isConfirmed ? Milliseconds(0) : std::max(Milliseconds(0), bounds.versionSwitch - bounds.contact);
    this->confirmView(knownAt);
    for (const auto& change : excerpt->changes)
        this->applyChange(change, now);
    this->clusterView.namingTimeOffset = Milliseconds(0);
    if (!excerpt->changes.empty())
        this->dispatchRequestsAwaitingConfiguration(now);
}

// Puts what the peers say into the table of endpoints.
void EntryNode::updatePeerLoads(TimePoint now)
{
    const auto& table = this->peers.table();
    bool areHeard = haveAllPeersReported(table, now);
    for (auto& row : this->clusterView.endpoints.rows) {
        if (row.record.id.empty())
            continue;
        row.peersInFlight = peersInFlight(table, endpointHash(row.record.id), now);
        row.arePeerLoadsCurrent = areHeard;
    }
}

// Answers what peers and agents ask over the port between processes.
void EntryNode::answerPeerRequest(const std::shared_ptr<ServerExchange>& exchange)
{
    if (exchange->request().path.rfind(summaryPathPrefix, 0) == 0)
        this->handleSummaryRequest(exchange);
    else
        this->answerStoreDelta(exchange);
}

// Agents ask for /briefs/NEWEST/HURRY/SERVICE: the newest version that they know, and whether the answer may not be held.
void EntryNode::handleSummaryRequest(const std::shared_ptr<ServerExchange>& exchange)
{
    std::vector<std::string> words = absl::StrSplit(exchange->request().path.substr(summaryPathPrefix.size()), absl::MaxSplits('/', 2));
    uint32_t newest = 0;
    uint32_t hurry = 0;
    if (words.size() != 3 || !absl::SimpleAtoi(words[0], &newest) || !absl::SimpleAtoi(words[1], &hurry)) {
        exchange->answer(400, {}, {});
        return;
    }
    auto now = Clock::now();
    this->pendingSummaryRequests.push_back({ exchange, words[2], newest, now + (hurry != 0 ? Milliseconds(0) : summaryHoldTime) });
    this->answerDueSummaryRequests(now);
}

std::optional<ServiceSummary> EntryNode::makeSummary(const std::string& service, TimePoint now) const
{
    auto brief = this->clusterView.isConfirmed ? summarizeService(this->clusterView, service, now) : std::nullopt;
    if (!brief)
        return std::nullopt;
    brief->age = ageOf(this->clusterView, BootClock::now());
    brief->dataCentre = this->settings.place.dataCentre;
    brief->entries = peersInDataCentre(this->peers.table(), brief->dataCentre, maxEntriesPerSummary, now);
    return brief;
}

// Answers briefs whose time has come, or whose service has newly named weights.
void EntryNode::answerDueSummaryRequests(TimePoint now)
{
    std::map<std::string, std::optional<ServiceSummary>> briefs;
    auto isDue = [&](const PendingSummaryRequest& held) {
        auto [brief, isNew] = briefs.try_emplace(held.service);
        if (isNew)
            brief->second = this->makeSummary(held.service, now);
        return now >= held.until || !brief->second || newestNamedVersion(*brief->second) > held.newestKnownVersion;
    };
    auto due = std::stable_partition(this->pendingSummaryRequests.begin(), this->pendingSummaryRequests.end(), [&](const PendingSummaryRequest& held) { return !isDue(held); });
    std::vector<PendingSummaryRequest> answered(std::make_move_iterator(due), std::make_move_iterator(this->pendingSummaryRequests.end()));
    this->pendingSummaryRequests.erase(due, this->pendingSummaryRequests.end());
    for (const auto& held : answered) {
        const auto& brief = briefs[held.service];
        held.exchange->answer(brief ? 200 : 503, { { "Content-Type", "application/msgpack" } }, brief ? encodeServiceSummary(*brief) : std::string());
    }
}

} // namespace bilberry
