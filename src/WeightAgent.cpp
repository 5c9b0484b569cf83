#include "WeightAgent.h"

#include "ChunkPlan.h"
#include "EngineClient.h"
#include "Log.h"
#include "Manifest.h"
#include "Node.h"
#include "Placement.h"
#include "StoreClient.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <thread>

namespace bilberry {

// Fetches that run at a time.
static constexpr size_t fetchThreads = 6;
static constexpr Milliseconds planInterval { 50 };
// How often a label is resolved again, to see a new version under it.
static constexpr Milliseconds labelInterval { 1000 };
static constexpr Milliseconds readBackInterval { 200 };
// A read-back older than this proves nothing of the present.
static constexpr Milliseconds readBackLifetime { 2000 };
// A source that gives no byte for so long has failed.
static constexpr Milliseconds chunkStall { 2000 };
// A peer that failed is not asked again for so long.
static constexpr Milliseconds peerBackOff { 3000 };
static constexpr Milliseconds loadTimeout { 120'000 };
static constexpr Milliseconds loadRetryInterval { 500 };

namespace {

// One model wanted on this VM.
struct WeightRow {
    std::string model;
    std::string label;
    Manifest manifest; ///< Empty digest: the label is not resolved yet.
    std::vector<ChunkState> chunks;
    TimePoint nextLabelRead {};
    TimePoint nextLoad {};
    bool isWhole = false;
    bool isLoading = false;
};

struct FetchJob {
    std::string model;
    std::string manifestDigest;
    size_t position = 0;
    ManifestChunk chunk;
    ChunkFetch fetch;
};

} // namespace

struct WeightAgent::State {
    explicit State(Node& node)
        : node(node)
        , store(node.settings.weightMemoryBytes)
    {
    }

    Node& node;
    ChunkStore store;
    mutable std::mutex mutex; ///< Guards all below.
    std::condition_variable changed;
    bool isStopping = false;
    std::vector<WeightRow> rows;
    std::deque<FetchJob> jobs;
    size_t fetchesInProgress = 0;
    std::map<std::string, uint32_t> fetchesByPeer;
    std::map<std::string, TimePoint> backOffs;
    std::vector<EngineModel> engineModels;
    TimePoint readBackAt {};
    bool isCold = false;
    uint64_t lastFencing = 0;
    std::vector<std::thread> threads;

    void syncRows(const Configuration&);
    void resolveLabels(const Configuration&);
    void planRow(const Configuration&, WeightRow&, TimePoint now);
    void fetch(const FetchJob&);
    void finishFetch(const FetchJob&, bool ok);
    void orderLoads(const Configuration&);
    void readBack(const Configuration&);
    void runPlanner();
    void runFetcher();
    void runActivation();
    bool waitOrStop(Milliseconds);
    WeightRow* findWeightRow(const std::string& model);
};

WeightRow* WeightAgent::State::findWeightRow(const std::string& model)
{
    for (auto& row : this->rows) {
        if (row.model == model)
            return &row;
    }
    return nullptr;
}

// Brings the rows in line with the placement. Rows of models that are not wanted any more go, and their chunks with them.
void WeightAgent::State::syncRows(const Configuration& configuration)
{
    RowIndex own = findOwnVm(this->node, configuration);
    if (own == noRow)
        return;
    auto placement = placeModels(configuration, this->node.published.liveList().get(), std::chrono::system_clock::now());
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<WeightRow> wanted;
    for (RowIndex index : modelsOnVm(placement, own)) {
        const Model& model = configuration.inventory.models[index];
        WeightRow* held = this->findWeightRow(model.name);
        wanted.push_back(held ? std::move(*held) : WeightRow { model.name, model.label, {}, {}, {}, {}, false, false });
        if (wanted.back().label != model.label) {
            wanted.back().label = model.label;
            wanted.back().nextLabelRead = {};
        }
    }
    this->rows = std::move(wanted);
}

static void takeManifest(WeightRow& row, Manifest manifest, const ChunkStore& store)
{
    auto now = Clock::now();
    logEvent(LogLevel::Info, "version_wanted", "model={} digest={} chunks={}", row.model, manifest.digest, manifest.chunks.size());
    row.manifest = std::move(manifest);
    row.chunks.assign(row.manifest.chunks.size(), {});
    row.isWhole = false;
    for (size_t i = 0; i < row.chunks.size(); ++i) {
        row.chunks[i].isHeld = store.has(row.manifest.chunks[i].digest);
        row.chunks[i].wantedSince = now;
    }
}

void WeightAgent::State::resolveLabels(const Configuration& configuration)
{
    std::vector<std::pair<std::string, std::string>> due;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (auto& row : this->rows) {
            if (Clock::now() < row.nextLabelRead)
                continue;
            row.nextLabelRead = Clock::now() + labelInterval;
            due.emplace_back(row.model, row.label);
        }
    }
    for (const auto& [model, label] : due) {
        auto manifest = readManifest(this->node, configuration.inventory.weightStore, model, label);
        std::lock_guard<std::mutex> lock(this->mutex);
        WeightRow* row = this->findWeightRow(model);
        if (manifest.ok() && row && row->label == label && row->manifest.digest != manifest->digest)
            takeManifest(*row, std::move(*manifest), this->store);
    }
}

// The VMs that the placement gives the model to, as chunk peers with what they report to hold.
static std::vector<ChunkPeer> collectPeers(const Node& node, const Configuration& configuration, const std::string& digest)
{
    std::vector<ChunkPeer> peers;
    RowIndex own = findOwnVm(node, configuration);
    auto now = Clock::now();
    for (const auto& row : node.fleet.rows()) {
        RowIndex vm = findRow(configuration.inventory.vms, row.status.vm);
        if (vm == noRow || vm == own || now - row.reportedAt > reportLifetime)
            continue;
        const Vm& other = configuration.inventory.vms[vm];
        ChunkPeer peer { other.name, other.address, inSameRegion(configuration.inventory, other.dataCentre, configuration.inventory.vms[own].dataCentre), {}, 0, {} };
        for (const auto& holding : row.status.holdings) {
            if (holding.digest == digest)
                peer.chunks = holding.chunks;
        }
        peers.push_back(std::move(peer));
    }
    return peers;
}

static std::vector<std::string> collectHolders(const Node& node, const Configuration& configuration, const std::string& model)
{
    RowIndex index = findRow(configuration.inventory.models, model);
    auto placement = placeModels(configuration, node.published.liveList().get(), std::chrono::system_clock::now());
    std::vector<std::string> inRegion;
    std::vector<std::string> all;
    for (const auto& row : placement.rows) {
        if (row.model != index)
            continue;
        const Vm& vm = configuration.inventory.vms[row.vm];
        all.push_back(vm.name);
        if (configuration.inventory.dataCentres[vm.dataCentre].region == configuration.inventory.weightStoreRegion)
            inRegion.push_back(vm.name);
    }
    return inRegion.empty() ? all : inRegion;
}

void WeightAgent::State::planRow(const Configuration& configuration, WeightRow& row, TimePoint now)
{
    if (row.manifest.digest.empty() || row.isWhole)
        return;
    auto peers = collectPeers(this->node, configuration, row.manifest.digest);
    for (auto& peer : peers) {
        peer.fetchesInProgress = this->fetchesByPeer[peer.vm];
        peer.backedOffUntil = this->backOffs[peer.vm];
    }
    auto holders = collectHolders(this->node, configuration, row.model);
    std::vector<std::string> digests;
    for (const auto& chunk : row.manifest.chunks)
        digests.push_back(chunk.digest);
    ChunkPlanInput input { row.chunks, peers, holders, digests, this->node.settings.vm, true };
    size_t slots = fetchThreads - std::min(fetchThreads, this->fetchesInProgress);
    for (auto& fetch : planFetches(input, slots, now)) {
        row.chunks[fetch.chunk].isInProgress = true;
        ++this->fetchesInProgress;
        if (!fetch.peerVm.empty())
            ++this->fetchesByPeer[fetch.peerVm];
        this->jobs.push_back({ row.model, row.manifest.digest, fetch.chunk, row.manifest.chunks[fetch.chunk], fetch });
    }
    this->changed.notify_all();
}

void WeightAgent::State::fetch(const FetchJob& job)
{
    auto configuration = this->node.published.configuration();
    absl::StatusOr<std::string> bytes = absl::UnavailableError("not fetched");
    if (job.fetch.peerAddress.empty()) {
        bytes = readBlob(this->node, configuration->inventory.weightStore, job.model, job.chunk, chunkStall);
    } else {
        HttpRequest request { "GET", "/chunks/" + job.chunk.digest, {}, {} };
        auto reply = this->node.clients.call(job.fetch.peerAddress, request, { this->node.settings.connectTimeout, chunkStall }, job.chunk.sizeBytes);
        if (reply.failure == CallFailure::None && reply.status == 200)
            bytes = std::move(reply.body);
    }
    std::string source = job.fetch.peerAddress.empty() ? "origin" : "peer";
    size_t size = bytes.ok() ? bytes->size() : 0;
    bool isVerified = bytes.ok() && this->store.put(job.chunk.digest, std::move(*bytes));
    std::string result = isVerified ? "ok" : size > 0 ? "corrupt"
                                                      : "failed";
    this->node.metrics.count("bilberry_chunk_fetches_total", { { "source", source }, { "result", result } });
    this->node.metrics.count("bilberry_chunk_bytes_total", { { "source", source } }, static_cast<double>(size));
    this->finishFetch(job, isVerified);
}

void WeightAgent::State::finishFetch(const FetchJob& job, bool ok)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    --this->fetchesInProgress;
    if (!job.fetch.peerVm.empty()) {
        --this->fetchesByPeer[job.fetch.peerVm];
        if (!ok)
            this->backOffs[job.fetch.peerVm] = Clock::now() + peerBackOff;
    }
    WeightRow* row = this->findWeightRow(job.model);
    if (!row || row->manifest.digest != job.manifestDigest)
        return;
    row->chunks[job.position].isInProgress = false;
    row->chunks[job.position].isHeld = ok;
    row->isWhole = std::all_of(row->chunks.begin(), row->chunks.end(), [](const ChunkState& chunk) { return chunk.isHeld; });
    if (row->isWhole)
        logEvent(LogLevel::Info, "version_whole", "model={} digest={}", row->model, row->manifest.digest);
}

void WeightAgent::State::readBack(const Configuration& configuration)
{
    RowIndex own = findOwnVm(this->node, configuration);
    if (own == noRow)
        return;
    const std::string& engine = configuration.inventory.vms[own].backEnd;
    auto models = readEngineModels(this->node, engine);
    auto isCold = readEngineCold(this->node, engine);
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!models.ok())
        return;
    this->engineModels = std::move(*models);
    this->readBackAt = Clock::now();
    for (const auto& model : this->engineModels)
        this->lastFencing = std::max(this->lastFencing, model.fencing);
    if (isCold.ok())
        this->isCold = *isCold;
}

void WeightAgent::State::orderLoads(const Configuration& configuration)
{
    RowIndex own = findOwnVm(this->node, configuration);
    std::vector<LoadOrder> orders;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        for (auto& row : this->rows) {
            bool isServed = std::any_of(this->engineModels.begin(), this->engineModels.end(), [&](const EngineModel& model) {
                return model.model == row.model && model.isReady && model.digest == row.manifest.digest;
            });
            if (!row.isWhole || isServed || Clock::now() < row.nextLoad)
                continue;
            row.nextLoad = Clock::now() + loadRetryInterval;
            auto source = fmt::format("http://{}/weights/{}", configuration.inventory.vms[own].address, row.manifest.digest);
            orders.push_back({ row.model, row.manifest.digest, source, ++this->lastFencing });
        }
    }
    for (const auto& order : orders) {
        auto status = orderLoad(this->node, configuration.inventory.vms[own].backEnd, order, loadTimeout);
        this->node.metrics.count("bilberry_load_orders_total", { { "result", status.ok() ? "ok" : "failed" } });
        logEvent(status.ok() ? LogLevel::Info : LogLevel::Warning, "load_order", "model={} digest={} fencing={} result=\"{}\"", order.model, order.digest, order.fencing, std::string(status.message()));
        this->readBack(configuration);
    }
}

bool WeightAgent::State::waitOrStop(Milliseconds wait)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    return !this->changed.wait_for(lock, wait, [&] { return this->isStopping; });
}

void WeightAgent::State::runPlanner()
{
    while (this->waitOrStop(planInterval)) {
        auto configuration = this->node.published.configuration();
        if (!configuration || findOwnVm(this->node, *configuration) == noRow)
            continue;
        this->syncRows(*configuration);
        this->resolveLabels(*configuration);
        std::lock_guard<std::mutex> lock(this->mutex);
        std::unordered_set<std::string> wanted;
        for (auto& row : this->rows) {
            for (const auto& chunk : row.manifest.chunks)
                wanted.insert(chunk.digest);
            this->planRow(*configuration, row, Clock::now());
        }
        this->store.retain(wanted);
    }
}

void WeightAgent::State::runFetcher()
{
    for (;;) {
        FetchJob job;
        {
            std::unique_lock<std::mutex> lock(this->mutex);
            this->changed.wait(lock, [&] { return this->isStopping || !this->jobs.empty(); });
            if (this->isStopping)
                return;
            job = std::move(this->jobs.front());
            this->jobs.pop_front();
        }
        this->fetch(job);
    }
}

void WeightAgent::State::runActivation()
{
    while (this->waitOrStop(readBackInterval)) {
        auto configuration = this->node.published.configuration();
        if (!configuration || findOwnVm(this->node, *configuration) == noRow)
            continue;
        this->readBack(*configuration);
        this->orderLoads(*configuration);
    }
}

WeightAgent::WeightAgent(Node& node)
    : state(std::make_unique<State>(node))
{
}

WeightAgent::~WeightAgent()
{
    this->stop();
}

void WeightAgent::start()
{
    State* own = this->state.get();
    own->threads.emplace_back([own] { own->runPlanner(); });
    own->threads.emplace_back([own] { own->runActivation(); });
    for (size_t i = 0; i < fetchThreads; ++i)
        own->threads.emplace_back([own] { own->runFetcher(); });
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
    if (Clock::now() - this->state->readBackAt > readBackLifetime)
        return std::nullopt;
    for (const auto& served : this->state->engineModels) {
        if (served.model == model && served.isReady)
            return served.digest;
    }
    return std::nullopt;
}

void WeightAgent::fillStatus(VmStatus& status) const
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    status.isCold = this->state->isCold;
    if (Clock::now() - this->state->readBackAt <= readBackLifetime) {
        for (const auto& served : this->state->engineModels) {
            if (served.isReady)
                status.served.push_back({ served.model, served.digest });
        }
    }
    for (const auto& row : this->state->rows) {
        ChunkHolding holding { row.manifest.digest, {} };
        for (const auto& chunk : row.chunks)
            holding.chunks.push_back(chunk.isHeld);
        if (!holding.digest.empty())
            status.holdings.push_back(std::move(holding));
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

HttpResponse WeightAgent::answer(const HttpRequest& request) const
{
    if (request.path.rfind("/chunks/", 0) == 0) {
        auto bytes = this->state->store.find(request.path.substr(8));
        if (!bytes)
            return jsonResponse(404, "{}");
        HttpResponse response;
        response.body = *bytes;
        this->state->node.metrics.count("bilberry_chunk_bytes_served_total", {}, static_cast<double>(bytes->size()));
        return response;
    }
    std::string digest = request.path.substr(request.path.rfind('/') + 1);
    std::lock_guard<std::mutex> lock(this->state->mutex);
    for (const auto& row : this->state->rows) {
        if (row.manifest.digest != digest || !row.isWhole)
            continue;
        std::vector<ChunkBytes> chunks;
        for (const auto& chunk : row.manifest.chunks)
            chunks.push_back(this->state->store.find(chunk.digest));
        if (std::all_of(chunks.begin(), chunks.end(), [](const ChunkBytes& bytes) { return bytes != nullptr; }))
            return streamWeights(std::move(chunks));
    }
    return jsonResponse(404, "{}");
}

} // namespace bilberry
