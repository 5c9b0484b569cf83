/// Polls peers for their holdings, and asks the weight store which versions the version tags denote.

#include "HttpMessage.h"
#include "Log.h"
#include "StoreClient.h"
#include "WeightState.h"

#include <algorithm>
#include <optional>

namespace bilberry {

// How often a peer is polled while chunks are missing, and while none are.
static constexpr Milliseconds pollInterval { 120 };
static constexpr Milliseconds idlePollInterval { 500 };
// The minimum average time between two polls of one process.
static constexpr Milliseconds pollSpacing { 12 };
static constexpr Milliseconds pollCheckInterval { 15 };
// The interval doubles with each failed poll of a peer, up to this.
static constexpr Milliseconds maxPollBackOff { 4000 };
// Failures beyond this number do not raise the interval further.
static constexpr uint32_t maxDoublings = 4;
static constexpr Milliseconds resolveCheckInterval { 50 };
// The minimum time between two calls to the weight store for one model, also after a failed call.
static constexpr Milliseconds resolveRetryInterval { 500 };

namespace {

// One poll of a peer.
struct PeerPoll {
    std::string model;
    std::string vm;
    std::string address;
};

} // namespace

void offerVersion(WeightState& state, const std::string& model, const std::string& label, Manifest manifest, TimePoint confirmedAt)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    WeightRow* row = findWeightRow(state.rows, model);
    if (!row || !supersedesWantedVersion(*row, label, confirmedAt))
        return;
    if (row->wanted.manifest.digest != manifest.digest)
        logEvent(LogLevel::Info, "version_wanted", "model={} digest={} chunks={}", model, manifest.digest, manifest.chunks.size());
    adoptManifest(*row, std::move(manifest), confirmedAt, state.store, Clock::now());
}

// The time until the next poll of a peer. It is long once either side has all chunks; otherwise it grows with the number of
// polled peers, which limits the rate of polls of one process. Precondition: the lock is held.
static Milliseconds nextPollInterval(const WeightState& state, const WeightRow& row, const WeightPeer& peer)
{
    bool isIdle = hasAllChunks(row.wanted) || row.isTooLarge;
    const auto& held = peer.holdings.chunks;
    bool isPeerComplete = peer.holdings.digest == row.wanted.manifest.digest && !held.empty() && std::find(held.begin(), held.end(), false) == held.end();
    if (isIdle || isPeerComplete)
        return idlePollInterval;
    auto polled = std::count_if(state.peers.begin(), state.peers.end(), [](const auto& entry) { return entry.second.isPolled; });
    return std::max(pollInterval, pollSpacing * static_cast<int>(polled));
}

// Takes the peer whose poll has been due for the longest time and schedules its next poll; returns nothing when none is due.
static std::optional<PeerPoll> takeDuePoll(WeightState& state)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    auto now = Clock::now();
    const WeightPeer* due = nullptr;
    std::string model;
    for (const auto& [key, peer] : state.peers) {
        bool isDue = peer.isPolled && peer.nextPollAt <= now && findWeightRow(state.rows, key.first);
        if (!isDue || (due && due->nextPollAt <= peer.nextPollAt))
            continue;
        due = &peer;
        model = key.first;
    }
    if (!due)
        return std::nullopt;
    const WeightRow* row = findWeightRow(state.rows, model);
    state.peers[{ model, due->vm }].nextPollAt = now + nextPollInterval(state, *row, *due);
    return PeerPoll { model, due->vm, due->address };
}

static void recordPollFailure(WeightState& state, const PeerPoll& poll)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    WeightPeer& peer = state.peers[{ poll.model, poll.vm }];
    peer.pollFailures = std::min(peer.pollFailures + 1, maxDoublings);
    peer.nextPollAt = Clock::now() + std::min(pollInterval * (2 << peer.pollFailures), maxPollBackOff);
}

// Stores the peer's holdings. Returns whether its version replaces the wanted one here, so that its manifest is needed.
static bool applyPolledHoldings(WeightState& state, const PeerPoll& poll, const Holdings& holdings, TimePoint confirmedAt)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    WeightPeer& peer = state.peers[{ poll.model, poll.vm }];
    recordHoldings(peer, holdings);
    WeightRow* row = findWeightRow(state.rows, poll.model);
    if (!row || !supersedesWantedVersion(*row, holdings.label, confirmedAt))
        return false;
    if (row->wanted.manifest.digest != holdings.digest)
        return true;
    row->confirmedAt = confirmedAt;
    return false;
}

static void pollPeer(WeightState& state, const PeerPoll& poll)
{
    // The age is subtracted from the time when the poll was sent, so that no version seems newer than it is.
    auto sentAt = Clock::now();
    auto reply = state.node.clients.sendRequest(poll.address, { "GET", "/holdings/" + poll.model, {}, {} }, { state.node.settings.connectTimeout, state.node.settings.callTimeout }, maxHoldingsBytes);
    if (reply.failure != CallFailure::None) {
        recordPollFailure(state, poll);
        return;
    }
    auto holdings = reply.status == 200 ? parseHoldings(reply.body) : std::nullopt;
    if (!holdings)
        return;
    state.node.metrics.addToCounter("bilberry_holdings_bytes_total", { { "with", "question" } }, static_cast<double>(reply.body.size()));
    auto confirmedAt = sentAt - holdings->confirmedAge;
    if (!applyPolledHoldings(state, poll, *holdings, confirmedAt))
        return;
    auto manifest = fetchManifestFromPeer(state.node, poll.address, holdings->digest);
    state.node.metrics.addToCounter("bilberry_manifest_reads_total", { { "source", "peer" }, { "result", manifest.ok() ? "ok" : "failed" } });
    if (manifest.ok())
        offerVersion(state, poll.model, holdings->label, std::move(*manifest), confirmedAt);
}

void runPeerPoller(WeightState& state)
{
    for (;;) {
        auto poll = takeDuePoll(state);
        if (poll)
            pollPeer(state, *poll);
        if (!state.waitUnlessStopping(poll ? Milliseconds(0) : pollCheckInterval))
            return;
    }
}

static std::vector<WantedModel> takeDueResolves(WeightState& state)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    std::vector<WantedModel> due;
    for (auto& row : state.rows) {
        auto found = state.topologies.find(row.model);
        if (found == state.topologies.end() || !isResolveDue(row, found->second.topology.resolverRank, Clock::now()))
            continue;
        row.nextResolveAt = Clock::now() + resolveRetryInterval;
        due.push_back({ row.model, row.label });
    }
    return due;
}

void runLabelResolver(WeightState& state)
{
    while (state.waitUnlessStopping(resolveCheckInterval)) {
        auto configuration = state.node.publishedState.configuration();
        for (const auto& due : takeDueResolves(state)) {
            auto sentAt = Clock::now();
            auto manifest = fetchManifestFromStore(state.node, configuration->inventory.weightStoreAddress, due.model, due.label);
            state.node.metrics.addToCounter("bilberry_manifest_reads_total", { { "source", "store" }, { "result", manifest.ok() ? "ok" : "failed" } });
            if (manifest.ok())
                offerVersion(state, due.model, due.label, std::move(*manifest), sentAt);
        }
    }
}

} // namespace bilberry
