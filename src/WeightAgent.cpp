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

void WeightAgent::watchLiveRequests(std::function<uint32_t()> liveRequests)
{
    this->state->liveRequests = std::move(liveRequests);
}

void WeightAgent::start()
{
    WeightState& own = *this->state;
    own.threads.emplace_back(runPlanner, std::ref(own));
    own.threads.emplace_back(runResolver, std::ref(own));
    own.threads.emplace_back(runReadBack, std::ref(own));
    own.threads.emplace_back(runOrders, std::ref(own));
    for (size_t i = 0; i < fetchThreads; ++i)
        own.threads.emplace_back(runFetcher, std::ref(own));
    for (size_t i = 0; i < pollThreads; ++i)
        own.threads.emplace_back(runPoller, std::ref(own));
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
    return findServedDigest(this->state->rows, this->state->readBack, model, Clock::now());
}

static std::vector<bool> heldBits(const WeightVersion& version)
{
    std::vector<bool> bits;
    for (const auto& chunk : version.chunks)
        bits.push_back(chunk.isHeld);
    return bits;
}

void WeightAgent::fillStatus(VmStatus& status) const
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    const EngineReadBack& readBack = this->state->readBack;
    status.isCold = readBack.isCold;
    for (const auto& loaded : readBack.models) {
        auto digest = findServedDigest(this->state->rows, readBack, loaded.model, Clock::now());
        if (loaded.isReady && digest)
            status.served.push_back({ loaded.model, *digest });
    }
    for (const auto& row : this->state->rows) {
        if (!row.wanted.manifest.digest.empty())
            status.holdings.push_back({ row.wanted.manifest.digest, heldBits(row.wanted) });
    }
}

// Streams the chunks of a whole version in the manifest's order.
static HttpResponse streamWeights(std::vector<ChunkBytes> chunks)
{
    HttpResponse response;
    auto remaining = std::make_shared<std::vector<ChunkBytes>>(std::move(chunks));
    auto next = std::make_shared<size_t>(0);
    response.stream = [remaining, next](std::string& piece) {
        if (*next == remaining->size())
            return BodyStep::End;
        piece = *(*remaining)[(*next)++];
        return BodyStep::More;
    };
    return response;
}

namespace {

// One chunk on its way to a peer.
struct ChunkSend {
    WeightState& state;
    ChunkBytes bytes;
    bool crossesRegions = false;
    bool hasEntered = false; ///< Its turn in the queue has come.
    size_t offset = 0;
};

} // namespace

static TransferPace uploadPace(const WeightState& state)
{
    uint32_t liveRequests = state.liveRequests ? state.liveRequests() : 0;
    return choosePace({ liveRequests, static_cast<double>(state.settings.uploadBytesPerSecond), state.settings.liveShare });
}

// Gives the next piece when its turn and its time have come.
static BodyStep sendPiece(ChunkSend& send, std::string& piece)
{
    if (send.offset == send.bytes->size())
        return BodyStep::End;
    if (!send.hasEntered)
        send.state.uploadQueue.enter(send.crossesRegions);
    send.hasEntered = true;
    auto pace = uploadPace(send.state);
    piece = send.bytes->substr(send.offset, pace.pieceBytes);
    send.offset += piece.size();
    std::this_thread::sleep_until(send.state.uploadPacer.reserve(piece.size(), pace.bytesPerSecond, Clock::now()));
    return BodyStep::More;
}

// Whether a VM with one of the models is known to be in another region.
static bool isElsewhere(WeightState& state, const std::string& vm)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    return std::any_of(state.peers.begin(), state.peers.end(), [&](const auto& entry) { return entry.second.vm == vm && !entry.second.isSameRegion; });
}

static HttpResponse answerChunk(WeightState& state, const std::string& digest, const HttpHeaders& headers)
{
    auto bytes = state.store.find(digest);
    if (!bytes)
        return jsonResponse(404, "{}");
    state.node.metrics.count("bilberry_chunk_bytes_served_total", {}, static_cast<double>(bytes->size()));
    HttpResponse response;
    tellHoldings(state, takeToldHoldings(state, headers), response.headers);
    auto send = std::make_shared<ChunkSend>(ChunkSend { state, bytes, isElsewhere(state, findHeader(headers, wire::vm)) });
    response.stream = [send](std::string& piece) { return sendPiece(*send, piece); };
    response.onFinished = [send] {
        if (send->hasEntered)
            send->state.uploadQueue.leave();
    };
    return response;
}

static HttpResponse answerHoldings(WeightState& state, const std::string& model)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    const WeightRow* row = findWeightRow(state.rows, model);
    if (!row || row->wanted.manifest.digest.empty())
        return jsonResponse(404, "{}");
    return jsonResponse(200, toText(ownHoldings(state, *row)));
}

static HttpResponse answerManifest(WeightState& state, const std::string& digest)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    for (const auto& row : state.rows) {
        for (const auto* version : { &row.wanted, &row.previous }) {
            if (version->manifest.digest == digest)
                return jsonResponse(200, version->manifest.text);
        }
    }
    return jsonResponse(404, "{}");
}

static HttpResponse answerWeights(WeightState& state, const std::string& digest)
{
    std::lock_guard<std::mutex> lock(state.mutex);
    for (const auto& row : state.rows) {
        for (const auto* version : { &row.wanted, &row.previous }) {
            if (version->manifest.digest != digest || !isWhole(*version))
                continue;
            std::vector<ChunkBytes> chunks;
            for (const auto& chunk : version->manifest.chunks)
                chunks.push_back(state.store.find(chunk.digest));
            if (std::count(chunks.begin(), chunks.end(), nullptr) == 0)
                return streamWeights(std::move(chunks));
        }
    }
    return jsonResponse(404, "{}");
}

HttpResponse WeightAgent::answer(const HttpRequest& request) const
{
    auto slash = request.path.find('/', 1);
    if (slash == std::string::npos)
        return jsonResponse(404, "{}");
    std::string kind = request.path.substr(1, slash - 1);
    std::string name = request.path.substr(slash + 1);
    if (kind == "chunks")
        return answerChunk(*this->state, name, request.headers);
    if (kind == "holdings")
        return answerHoldings(*this->state, name);
    if (kind == "manifests")
        return answerManifest(*this->state, name);
    return kind == "weights" ? answerWeights(*this->state, name) : jsonResponse(404, "{}");
}

} // namespace bilberry
