/// Plans and executes the fetches of missing chunks.

#include "ContentDigest.h"
#include "HttpMessage.h"
#include "Log.h"
#include "Transfer.h"
#include "WeightState.h"

namespace bilberry {

// The minimum share of region ingress, also for a VM that is the first in its region for no chunk.
static constexpr double minRegionShare = 0.02;
static constexpr Milliseconds planInterval { 25 };
// How often reports of peers, polled peers and retained chunks are updated when the placement does not change.
static constexpr Milliseconds syncInterval { 200 };
// The time for which no chunk is fetched from a peer or the origin after a failed fetch.
static constexpr Milliseconds peerBackOff { 3000 };
static constexpr Milliseconds originBackOff { 500 };
// The time for which no chunk is fetched from the origin after it refused a request over its rate limit.
static constexpr Milliseconds originRateBackOff { 1000 };

bool WeightState::waitUnlessStopping(Milliseconds wait)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    return !this->changed.wait_for(lock, wait, [&] { return this->isStopping; });
}

// Updates rows, topologies and peers to the placement. Returns whether anything changed. Precondition: the lock is held.
static bool syncTables(WeightState& state, const Configuration& configuration, const PlacementPointer& placement, RowIndex ownVm)
{
    std::vector<WantedModel> wanted;
    for (RowIndex index : modelsOnVm(*placement, ownVm))
        wanted.push_back({ configuration.inventory.models[index].name, configuration.inventory.models[index].versionTag });
    bool hasChanged = wanted.size() != state.rows.size();
    syncWeightRows(state.rows, wanted, Clock::now());
    for (const auto& row : state.rows) {
        CachedTopology& cached = state.topologies[row.model];
        if (cached.placement == placement && cached.manifestDigest == row.wanted.manifest.digest)
            continue;
        hasChanged = true;
        RowIndex model = findRow(configuration.inventory.models, row.model);
        cached = { placement, row.wanted.manifest.digest, makeDistributionTopology(configuration, *placement, model, ownVm, row.wanted.manifest, state.settings.strategy) };
        for (const auto& member : cached.topology.members) {
            WeightPeer& peer = state.peers[{ row.model, member.vm }];
            peer.vm = member.vm;
            peer.address = member.address;
            peer.isSameRegion = member.isSameRegion;
        }
    }
    return hasChanged;
}

// Takes the holdings of peers that are not polled from their status reports. Precondition: the lock is held.
static void applyPeerReports(WeightState& state)
{
    for (const auto& reported : state.node.fleet.rows()) {
        for (const auto& row : state.rows) {
            auto found = state.peers.find({ row.model, reported.status.vm });
            if (found == state.peers.end() || found->second.isPolled)
                continue;
            for (const auto& holding : reported.status.holdings) {
                if (holding.digest != row.wanted.manifest.digest || found->second.holdings.chunks == holding.chunks)
                    continue;
                found->second.holdings.digest = holding.digest;
                found->second.holdings.chunks = holding.chunks;
                found->second.lastProgress = Clock::now();
            }
        }
    }
}

static void markPolledPeers(WeightState& state)
{
    for (const auto& row : state.rows) {
        auto polled = choosePolledMembers(state.topologies[row.model].topology, row.wanted.chunks, state.node.settings.vm);
        for (auto& [key, peer] : state.peers) {
            if (key.first == row.model)
                peer.isPolled = polled.count(peer.vm) > 0;
        }
    }
}

static std::vector<ChunkPeer> collectChunkPeers(WeightState& state, const WeightRow& row)
{
    std::vector<ChunkPeer> peers;
    for (const auto& member : state.topologies[row.model].topology.members) {
        const WeightPeer& known = state.peers[{ row.model, member.vm }];
        ChunkPeer peer { known.vm, known.address, known.isSameRegion, {}, 0, {}, known.lastProgress };
        if (known.holdings.digest == row.wanted.manifest.digest)
            peer.chunks = known.holdings.chunks;
        peer.fetchesInProgress = state.fetchesByPeer[known.vm];
        peer.backedOffUntil = state.peersBackedOffUntil[known.vm];
        peers.push_back(std::move(peer));
    }
    return peers;
}

static void enqueueFetch(WeightState& state, WeightRow& row, ChunkFetch fetch)
{
    const DistributionTopology& rowTopology = state.topologies[row.model].topology;
    row.wanted.chunks[fetch.chunk].isInProgress = true;
    ++state.fetchesInProgress;
    bool isPaced = fetch.source == ChunkSource::OtherRegion || (fetch.source == ChunkSource::Origin && !rowTopology.isOriginNear);
    state.originFetches += fetch.source == ChunkSource::Origin ? 1 : 0;
    state.otherRegionFetches += fetch.source == ChunkSource::OtherRegion ? 1 : 0;
    if (!fetch.peerVm.empty())
        ++state.fetchesByPeer[fetch.peerVm];
    // Region ingress is divided in proportion to the chunks that each VM fetches into the region, so that all finish at the
    // same time. A VM that replaces another one has at least the minimum share.
    double share = std::max(rowTopology.regionIngressShare, minRegionShare);
    double rate = static_cast<double>(state.settings.regionIngressBytesPerSecond) * share;
    double minRate = minAcceptedRate(state.observedRates[fetch.source]);
    state.fetchJobs.push_back({ row.model, row.wanted.manifest.digest, row.wanted.manifest.chunks[fetch.chunk], std::move(fetch), isPaced, rate, minRate });
}

// Precondition: the lock is held.
static void planRowFetches(WeightState& state, WeightRow& row, TimePoint now)
{
    const CachedTopology& cached = state.topologies[row.model];
    bool isIdle = row.wanted.manifest.digest.empty() || row.isTooLarge || hasAllChunks(row.wanted);
    if (isIdle || cached.manifestDigest != row.wanted.manifest.digest)
        return;
    auto peers = collectChunkPeers(state, row);
    updateHeldInOtherRegion(row.wanted.chunks, peers, now);
    std::vector<std::string> digests;
    for (const auto& chunk : row.wanted.manifest.chunks)
        digests.push_back(chunk.digest);
    bool isOriginUsable = cached.topology.mayUseOrigin && now >= state.originBackedOffUntil;
    ChunkPlanInput input { row.wanted.chunks, cached.topology.routes, digests, peers, state.node.settings.vm, cached.topology.isOriginNear, isOriginUsable, state.originFetches, state.otherRegionFetches };
    size_t slots = fetchThreadCount - std::min(fetchThreadCount, state.fetchesInProgress);
    for (auto& fetch : planFetches(input, slots, now))
        enqueueFetch(state, row, std::move(fetch));
    state.changed.notify_all();
}

static void retainChunks(WeightState& state)
{
    std::unordered_set<std::string> knownTooLarge;
    for (const auto& row : state.rows) {
        if (row.isTooLarge)
            knownTooLarge.insert(row.model);
    }
    state.store.retainOnly(chooseRetainedDigests(state.rows, state.node.settings.weightMemoryBytes));
    for (const auto& row : state.rows) {
        if (row.isTooLarge && knownTooLarge.count(row.model) == 0)
            logEvent(LogLevel::Warning, "version_too_large", "model={} digest={} bytes={}", row.model, row.wanted.manifest.digest, row.wanted.manifest.sizeBytes);
        state.node.metrics.setGauge("bilberry_version_too_large", row.isTooLarge ? 1 : 0, { { "model", row.model } });
    }
    state.node.metrics.setGauge("bilberry_weight_bytes_held", static_cast<double>(state.store.heldBytes()));
}

// Computes the content digests of versions whose chunks are all held. This runs outside the lock, since it reads every byte.
static void completeVersions(WeightState& state)
{
    std::vector<std::pair<std::string, Manifest>> versions;
    {
        std::lock_guard<std::mutex> lock(state.mutex);
        for (const auto& row : state.rows) {
            if (hasAllChunks(row.wanted) && !isComplete(row.wanted))
                versions.emplace_back(row.model, row.wanted.manifest);
        }
    }
    for (const auto& [model, manifest] : versions) {
        std::vector<ChunkBytes> chunks;
        for (const auto& chunk : manifest.chunks)
            chunks.push_back(state.store.find(chunk.digest));
        if (std::count(chunks.begin(), chunks.end(), nullptr) > 0)
            continue;
        auto digest = contentSha256(chunks);
        std::lock_guard<std::mutex> lock(state.mutex);
        WeightRow* row = findWeightRow(state.rows, model);
        if (!row || row->wanted.manifest.digest != manifest.digest)
            continue;
        row->wanted.contentSha256 = digest;
        logEvent(LogLevel::Info, "version_whole", "model={} digest={} content_sha256={}", model, manifest.digest, digest);
    }
}

void runFetchPlanner(WeightState& state)
{
    TimePoint nextSync {};
    while (state.waitUnlessStopping(planInterval)) {
        auto configuration = state.node.publishedState.configuration();
        RowIndex ownVm = configuration ? findOwnVm(state.node, *configuration) : noRow;
        if (ownVm == noRow)
            continue;
        auto now = Clock::now();
        auto placement = state.placements.get(configuration, state.node.publishedState.liveList(), std::chrono::system_clock::now());
        {
            std::lock_guard<std::mutex> lock(state.mutex);
            bool hasChanged = syncTables(state, *configuration, placement, ownVm);
            if (hasChanged || now >= nextSync) {
                nextSync = now + syncInterval;
                applyPeerReports(state);
                markPolledPeers(state);
                retainChunks(state);
            }
            for (auto& row : state.rows)
                planRowFetches(state, row, now);
        }
        completeVersions(state);
    }
}

static std::string_view toText(ChunkSource source)
{
    switch (source) {
    case ChunkSource::SameRegion:
        return "peer";
    case ChunkSource::OtherRegion:
        return "region";
    case ChunkSource::Origin:
        break;
    }
    return "origin";
}

static absl::StatusOr<std::string> fetchChunk(WeightState& state, const FetchJob& job)
{
    TransferLimits limits { job.chunk.sizeBytes, job.minBytesPerSecond, job.bytesPerSecond, job.isPaced ? &state.regionIngressPacer : nullptr, {} };
    if (job.fetch.source != ChunkSource::Origin) {
        limits.onResponseHead = [&](const HttpHeaders& headers) { applyHoldingsHeaders(state, headers); };
        HttpRequest request { "GET", "/chunks/" + job.chunk.digest, {}, {} };
        addHoldingsHeaders(state, job.manifestDigest, request.headers);
        return fetchBody(state.node, job.fetch.peerAddress, request, limits, state.receivedBytes);
    }
    auto configuration = state.node.publishedState.configuration();
    HttpRequest request { "GET", "/v2/" + job.model + "/blobs/" + job.chunk.digest, {}, {} };
    return fetchBody(state.node, configuration->inventory.weightStoreAddress, request, limits, state.receivedBytes);
}

// Precondition: the lock is held.
static void backOffSource(WeightState& state, const FetchJob& job, const absl::Status& status)
{
    auto now = Clock::now();
    // The source is not at fault when the memory is full.
    if (absl::IsOutOfRange(status))
        return;
    if (job.fetch.source != ChunkSource::Origin) {
        state.peersBackedOffUntil[job.fetch.peerVm] = now + peerBackOff;
        return;
    }
    // A corrupted chunk is requested again at once; any other failure of the weight store starts a backoff.
    if (!absl::IsDataLoss(status))
        state.originBackedOffUntil = now + (absl::IsResourceExhausted(status) ? originRateBackOff : originBackOff);
}

// Precondition: the lock is held.
static void recordRate(WeightState& state, const FetchJob& job, const absl::Status& status, Duration took)
{
    ObservedRate& observed = state.observedRates[job.fetch.source];
    if (status.ok())
        recordTransfer(observed, job.chunk.sizeBytes, took);
    else if (absl::IsDeadlineExceeded(status))
        recordAbortedTransfer(observed);
}

static void finishFetch(WeightState& state, const FetchJob& job, const absl::Status& status, Duration took)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    recordRate(state, job, status, took);
    --state.fetchesInProgress;
    state.originFetches -= job.fetch.source == ChunkSource::Origin ? 1 : 0;
    state.otherRegionFetches -= job.fetch.source == ChunkSource::OtherRegion ? 1 : 0;
    if (!job.fetch.peerVm.empty())
        --state.fetchesByPeer[job.fetch.peerVm];
    if (!status.ok())
        backOffSource(state, job, status);
    updateFetchedChunk(state.rows, job.chunk.digest, state.store);
}

static std::string_view fetchResult(const absl::Status& status)
{
    if (status.ok())
        return "ok";
    if (absl::IsDataLoss(status))
        return "corrupt";
    if (absl::IsDeadlineExceeded(status))
        return "stalled";
    return absl::IsResourceExhausted(status) ? "over_rate" : "failed";
}

static void executeFetch(WeightState& state, const FetchJob& job)
{
    auto startedAt = Clock::now();
    auto bytes = fetchChunk(state, job);
    auto took = Clock::now() - startedAt;
    absl::Status status = bytes.status();
    std::string source(toText(job.fetch.source));
    if (bytes.ok()) {
        state.node.metrics.addToCounter("bilberry_chunk_bytes_total", { { "source", source } }, static_cast<double>(bytes->size()));
        status = state.store.put(job.chunk.digest, std::move(*bytes));
    }
    state.node.metrics.addToCounter("bilberry_chunk_fetches_total", { { "source", source }, { "result", std::string(fetchResult(status)) } });
    finishFetch(state, job, status, took);
}

void runChunkFetcher(WeightState& state)
{
    for (;;) {
        FetchJob job;
        {
            std::unique_lock<std::mutex> lock(state.mutex);
            state.changed.wait(lock, [&] { return state.isStopping || !state.fetchJobs.empty(); });
            if (state.isStopping)
                return;
            job = std::move(state.fetchJobs.front());
            state.fetchJobs.pop_front();
        }
        executeFetch(state, job);
    }
}

} // namespace bilberry
