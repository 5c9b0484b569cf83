/// The part of an agent that gives pieces and digests to other agents.

#include "AgentNode.h"

#include "Digest.h"
#include "PieceManifest.h"
#include "ServerExchange.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace bilberry {

// How long a peer's request waits for a piece that is on its way here.
static constexpr Milliseconds maxPieceRequestWait { 2000 };
static constexpr Milliseconds maxManifestRequestWait { 700 };
// Share of the VM's link that uploads may take.
static constexpr double uploadLinkShare = 0.9;

// Time that a piece takes on the link at the pace of uploads.
static Duration uploadDuration(size_t bytes, double linkMegabits)
{
    if (linkMegabits <= 0)
        return Duration(0);
    double seconds = 8 * static_cast<double>(bytes) / (1e6 * linkMegabits * uploadLinkShare);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Peers ask for /pieces/VERSION/PIECE, for /imports/VERSION/PIECE when their region waits for it, and for /manifests/VERSION.
void AgentNode::answerPeerRequest(const std::shared_ptr<ServerExchange>& exchange)
{
    const auto& path = exchange->request().path;
    std::vector<std::string> words = absl::StrSplit(path, '/', absl::SkipEmpty());
    uint32_t version = 0;
    uint32_t piece = 0;
    bool isImport = words.size() == 3 && words[0] == "imports";
    bool asksPiece = words.size() == 3 && (isImport || words[0] == "pieces") && absl::SimpleAtoi(words[1], &version) && absl::SimpleAtoi(words[2], &piece);
    bool asksManifest = words.size() == 2 && words[0] == "manifests" && absl::SimpleAtoi(words[1], &version);
    bool isHere = this->manifest.version == version && version != 0;
    this->peerRequestedVersion = std::max(this->peerRequestedVersion, asksPiece || asksManifest ? version : 0);
    bool isComing = version > this->manifest.version && version <= this->wantedVersion();
    bool isServed = this->engineReport && this->brief && servesVersion(*this->engineReport, this->brief->model, version);
    if (asksPiece && isHere && piece < this->manifest.digests.size()) {
        this->answerPieceRequest({ exchange, piece, true, isImport });
    } else if (asksPiece && isComing && !isServed) {
        this->pendingPieceRequests.push_back({ { exchange, piece, true, isImport }, version, Clock::now() + maxPieceRequestWait });
    } else if (asksPiece && isServed) {
        this->enqueueUpload({ exchange, piece, false, isImport });
    } else if (asksManifest && isHere) {
        exchange->answer(200, { { "Content-Type", "application/msgpack" } }, encodeManifest(this->manifest));
    } else if (asksManifest && version > this->manifest.version && !isServed) {
        this->pendingManifestRequests.push_back({ exchange, version, Clock::now() + maxManifestRequestWait });
    } else {
        exchange->answer(404, {}, {});
    }
}

void AgentNode::answerPieceRequest(Upload request)
{
    if (this->isPieceStaged[request.piece])
        this->enqueueUpload(std::move(request));
    else
        this->pendingPieceRequests.push_back({ std::move(request), this->manifest.version, Clock::now() + maxPieceRequestWait });
}

// Pieces leave one after the other, at a pace that leaves room on the VM's link for the answers of its engine; those that
// are passed on in another region go first.
void AgentNode::enqueueUpload(Upload request)
{
    auto isLocal = [](const Upload& waiting) { return !waiting.isCrossRegion; };
    auto position = request.isCrossRegion ? std::find_if(this->uploadQueue.begin(), this->uploadQueue.end(), isLocal) : this->uploadQueue.end();
    this->uploadQueue.insert(position, std::move(request));
    if (this->uploadQueue.size() == 1)
        this->sendNextUpload();
}

void AgentNode::sendNextUpload()
{
    auto now = Clock::now();
    if (now < this->nextUploadAt) {
        this->uploadTimer.expires_at(this->nextUploadAt);
        this->uploadTimer.async_wait([this](const boost::system::error_code& error) {
            if (hasFired(this->uploadTimer, error))
                this->sendNextUpload();
        });
        return;
    }
    auto next = std::move(this->uploadQueue.front());
    this->uploadQueue.pop_front();
    this->nextUploadAt = now + uploadDuration(this->brief->model.chunkBytes, this->settings.linkMegabits);
    if (next.shouldVerify)
        this->sendVerifiedPiece(next.exchange, next.piece);
    else
        this->sendUnverifiedPiece(next.exchange, next.piece);
    if (!this->uploadQueue.empty())
        this->sendNextUpload();
}

// Sends a piece of the version that the engine serves, whose digests aren't known here; the peer checks it.
void AgentNode::sendUnverifiedPiece(const std::shared_ptr<ServerExchange>& exchange, uint32_t piece)
{
    this->idleEngineCaller().get(this->dialect.engine.stageReadPath(this->brief->model.name, piece), engineTimeout, [exchange](const CallResult& result) {
        exchange->answer(result.status == 200 ? 200 : 404, {}, result.status == 200 ? result.body : std::string());
    });
}

// Sends a piece as it lies on the stage, unless it has turned bad there.
void AgentNode::sendVerifiedPiece(const std::shared_ptr<ServerExchange>& exchange, uint32_t piece)
{
    uint32_t version = this->manifest.version;
    this->idleEngineCaller().get(this->dialect.engine.stageReadPath(this->brief->model.name, piece), engineTimeout, [this, exchange, version, piece](const CallResult& result) {
        bool isCurrent = this->manifest.version == version;
        bool isGood = isCurrent && result.status == 200 && sha256Hex(result.body) == this->manifest.digests[piece];
        if (isCurrent && !isGood)
            this->isPieceStaged[piece] = false;
        exchange->answer(isGood ? 200 : 404, {}, isGood ? result.body : std::string());
    });
}

void AgentNode::answerPendingManifestRequests()
{
    auto bytes = encodeManifest(this->manifest);
    for (const auto& request : this->pendingManifestRequests) {
        bool isIt = request.version == this->manifest.version;
        request.exchange->answer(isIt ? 200 : 404, { { "Content-Type", "application/msgpack" } }, isIt ? bytes : std::string());
    }
    this->pendingManifestRequests.clear();
}

void AgentNode::answerPendingPieceRequests(uint32_t piece)
{
    std::vector<PendingPieceRequest> kept;
    auto waiting = std::move(this->pendingPieceRequests);
    this->pendingPieceRequests.clear();
    for (auto& request : waiting) {
        if (request.upload.piece == piece && request.version == this->manifest.version)
            this->enqueueUpload(std::move(request.upload));
        else
            kept.push_back(std::move(request));
    }
    this->pendingPieceRequests.insert(this->pendingPieceRequests.end(), std::make_move_iterator(kept.begin()), std::make_move_iterator(kept.end()));
}

// Tells those whose time is up that it isn't here yet, and drops them.
template <typename Held, typename ExchangeOf>
static void expireRequests(std::vector<Held>& waiting, TimePoint now, ExchangeOf exchangeOf)
{
    auto isOld = [&](const Held& request) { return now >= request.until; };
    for (const auto& request : waiting) {
        if (isOld(request))
            exchangeOf(request)->answer(404, {}, {});
    }
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(), isOld), waiting.end());
}

void AgentNode::expirePendingRequests(TimePoint now)
{
    expireRequests(this->pendingPieceRequests, now, [](const PendingPieceRequest& request) { return request.upload.exchange; });
    expireRequests(this->pendingManifestRequests, now, [](const PendingManifestRequest& request) { return request.exchange; });
}

} // namespace bilberry
