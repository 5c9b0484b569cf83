#include "WeightAgent.h"

#include "WeightState.h"
#include "WireHeaders.h"

#include <algorithm>

namespace bilberry {

WeightAgent::WeightAgent(Node& node)
    : state(std::make_unique<WeightState>(node))
{
}

WeightAgent::~WeightAgent()
{
    this->stop();
}

void WeightAgent::setLiveRequestCounter(std::function<uint32_t()> liveRequests)
{
    this->state->countLiveRequests = std::move(liveRequests);
}

void WeightAgent::start()
{
    WeightState& shared = *this->state;
    shared.threads.emplace_back(runFetchPlanner, std::ref(shared));
    shared.threads.emplace_back(runLabelResolver, std::ref(shared));
    shared.threads.emplace_back(runEngineStateReader, std::ref(shared));
    shared.threads.emplace_back(runEngineOrders, std::ref(shared));
    for (size_t i = 0; i < fetchThreadCount; ++i)
        shared.threads.emplace_back(runChunkFetcher, std::ref(shared));
    for (size_t i = 0; i < pollThreadCount; ++i)
        shared.threads.emplace_back(runPeerPoller, std::ref(shared));
}

void WeightAgent::stop()
{
    {
        std::lock_guard<std::mutex> lock(this->state->mutex);
        this->state->isStopping = true;
        this->state->changed.notify_all();
    }
    for (auto& thread : this->state->threads)
        thread.join();
    this->state->threads.clear();
}

std::optional<std::string> WeightAgent::servedDigest(const std::string& model) const
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    return findServedDigest(this->state->rows, this->state->engineState, model, Clock::now());
}

static std::vector<bool> heldChunks(const WeightVersion& version)
{
    std::vector<bool> bits;
    for (const auto& chunk : version.chunks)
        bits.push_back(chunk.isHeld);
    return bits;
}

void WeightAgent::fillStatus(VmStatus& status) const
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    const ObservedEngineState& readBack = this->state->engineState;
    status.isCold = readBack.isCold;
    for (const auto& loaded : readBack.models) {
        auto digest = findServedDigest(this->state->rows, readBack, loaded.model, Clock::now());
        if (loaded.isReady && digest)
            status.servedModels.push_back({ loaded.model, *digest });
    }
    for (const auto& row : this->state->rows) {
        if (!row.wanted.manifest.digest.empty())
            status.holdings.push_back({ row.wanted.manifest.digest, heldChunks(row.wanted) });
    }
}

// Streams the chunks of a complete version in the manifest's order.
static HttpResponse streamWeights(std::vector<ChunkBytes> chunks)
{
    HttpResponse response;
    auto remaining = std::make_shared<std::vector<ChunkBytes>>(std::move(chunks));
    auto next = std::make_shared<size_t>(0);
    response.stream = [remaining, next](std::string& piece) {
        if (*next == remaining->size())
            return BodyReadResult::End;
        piece = *(*remaining)[(*next)++];
        return BodyReadResult::More;
    };
    return response;
}

namespace {

// The upload of one chunk to a peer.
struct ChunkUpload {
    WeightState& state;
    ChunkBytes bytes;
    bool crossesRegions = false;
    bool hasSlot = false; ///< The upload has a slot of the upload queue, which it must release.
    size_t offset = 0; ///< Bytes sent so far.
};

} // namespace

static TransferPace currentUploadPace(const WeightState& state)
{
    uint32_t liveRequests = state.countLiveRequests ? state.countLiveRequests() : 0;
    return chooseTransferPace({ liveRequests, static_cast<double>(state.settings.uploadBytesPerSecond), state.settings.liveShare });
}

// Returns the next piece. Blocks until the upload has a slot and the pace allows the piece.
static BodyReadResult readNextPiece(ChunkUpload& upload, std::string& piece)
{
    if (upload.offset == upload.bytes->size())
        return BodyReadResult::End;
    if (!upload.hasSlot)
        upload.state.uploadQueue.acquireSlot(upload.crossesRegions);
    upload.hasSlot = true;
    auto pace = currentUploadPace(upload.state);
    piece = upload.bytes->substr(upload.offset, pace.pieceBytes);
    upload.offset += piece.size();
    std::this_thread::sleep_until(upload.state.uploadPacer.reserveBytes(piece.size(), pace.bytesPerSecond, Clock::now()));
    return BodyReadResult::More;
}

// Whether the VM is known to be in another region. VMs that carry none of the models here are not known.
static bool isInOtherRegion(WeightState& state, const std::string& vm)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    return std::any_of(state.peers.begin(), state.peers.end(), [&](const auto& entry) { return entry.second.vm == vm && !entry.second.isSameRegion; });
}

static HttpResponse handleChunkRequest(WeightState& state, const std::string& digest, const HttpHeaders& headers)
{
    auto bytes = state.store.find(digest);
    if (!bytes)
        return makeJsonResponse(404, "{}");
    state.node.metrics.addToCounter("bilberry_chunk_bytes_served_total", {}, static_cast<double>(bytes->size()));
    HttpResponse response;
    addHoldingsHeaders(state, applyHoldingsHeaders(state, headers), response.headers);
    auto upload = std::make_shared<ChunkUpload>(ChunkUpload { state, bytes, isInOtherRegion(state, findHeader(headers, wire::vm)) });
    response.stream = [upload](std::string& piece) { return readNextPiece(*upload, piece); };
    response.onFinished = [upload] {
        if (upload->hasSlot)
            upload->state.uploadQueue.releaseSlot();
    };
    return response;
}

static HttpResponse handleHoldingsRequest(WeightState& state, const std::string& model)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    const WeightRow* row = findWeightRow(state.rows, model);
    if (!row || row->wanted.manifest.digest.empty())
        return makeJsonResponse(404, "{}");
    return makeJsonResponse(200, toText(ownHoldings(state, *row)));
}

static HttpResponse handleManifestRequest(WeightState& state, const std::string& digest)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    for (const auto& row : state.rows) {
        for (const auto* version : { &row.wanted, &row.previous }) {
            if (version->manifest.digest == digest)
                return makeJsonResponse(200, version->manifest.text);
        }
    }
    return makeJsonResponse(404, "{}");
}

static HttpResponse handleWeightsRequest(WeightState& state, const std::string& digest)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    for (const auto& row : state.rows) {
        for (const auto* version : { &row.wanted, &row.previous }) {
            if (version->manifest.digest != digest || !isComplete(*version))
                continue;
            std::vector<ChunkBytes> chunks;
            for (const auto& chunk : version->manifest.chunks)
                chunks.push_back(state.store.find(chunk.digest));
            if (std::count(chunks.begin(), chunks.end(), nullptr) == 0)
                return streamWeights(std::move(chunks));
        }
    }
    return makeJsonResponse(404, "{}");
}

HttpResponse WeightAgent::handleRequest(const HttpRequest& request) const
{
    auto slash = request.path.find('/', 1);
    if (slash == std::string::npos)
        return makeJsonResponse(404, "{}");
    std::string kind = request.path.substr(1, slash - 1);
    std::string name = request.path.substr(slash + 1);
    if (kind == "chunks")
        return handleChunkRequest(*this->state, name, request.headers);
    if (kind == "holdings")
        return handleHoldingsRequest(*this->state, name);
    if (kind == "manifests")
        return handleManifestRequest(*this->state, name);
    return kind == "weights" ? handleWeightsRequest(*this->state, name) : makeJsonResponse(404, "{}");
}

} // namespace bilberry
