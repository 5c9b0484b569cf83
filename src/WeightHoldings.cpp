/// Exchanges holdings with peers in the headers of chunk transfers, which saves most polls while a version is distributed.

#include "HttpMessage.h"
#include "WeightState.h"
#include "WireHeaders.h"

namespace bilberry {

// The time for which a peer is not polled after it has sent its holdings with a chunk.
static constexpr Milliseconds pollDelayAfterHoldings { 400 };
// The largest number of chunks of a version whose holdings are sent in a header, so that they fit into it.
static constexpr size_t maxChunksInHeader = 16384;

Holdings ownHoldings(const WeightState& state, const WeightRow& row)
{
    Holdings holdings { row.label, row.wanted.manifest.digest, std::chrono::ceil<Milliseconds>(Clock::now() - row.confirmedAt), state.receivedBytes, {} };
    for (const auto& chunk : row.wanted.chunks)
        holdings.chunks.push_back(chunk.isHeld);
    return holdings;
}

void recordHoldings(WeightPeer& peer, const Holdings& holdings)
{
    bool hasGrown = holdings.receivedBytes != peer.holdings.receivedBytes || holdings.digest != peer.holdings.digest;
    if (hasGrown)
        peer.lastProgress = Clock::now();
    peer.pollFailures = 0;
    peer.holdings = holdings;
}

void addHoldingsHeaders(WeightState& state, const std::string& manifestDigest, HttpHeaders& headers)
{
    headers.emplace_back(wire::vm, state.node.settings.vm);
    std::lock_guard<std::mutex> lock(state.mutex);
    for (const auto& row : state.rows) {
        bool isWantedVersion = !manifestDigest.empty() && row.wanted.manifest.digest == manifestDigest;
        if (!isWantedVersion || row.wanted.chunks.size() > maxChunksInHeader)
            continue;
        headers.emplace_back(wire::holdings, toText(ownHoldings(state, row)));
        return;
    }
}

std::string applyHoldingsHeaders(WeightState& state, const HttpHeaders& headers)
{
    std::string text = findHeader(headers, wire::holdings);
    auto holdings = parseHoldings(text);
    if (!holdings)
        return {};
    state.node.metrics.addToCounter("bilberry_holdings_bytes_total", { { "with", "chunk" } }, static_cast<double>(text.size()));
    std::string vm = findHeader(headers, wire::vm);
    std::lock_guard<std::mutex> lock(state.mutex);
    for (const auto& row : state.rows) {
        auto found = state.peers.find({ row.model, vm });
        if (found == state.peers.end() || row.wanted.manifest.digest != holdings->digest)
            continue;
        WeightPeer& peer = found->second;
        if (!shouldReplaceHoldings(peer.holdings, *holdings))
            continue;
        recordHoldings(peer, *holdings);
        peer.nextPollAt = std::max(peer.nextPollAt, Clock::now() + pollDelayAfterHoldings);
    }
    return holdings->digest;
}

} // namespace bilberry
