/// The part of an agent that serves pieces and manifests to other agents.

#include "AgentNode.h"

#include "Digest.h"
#include "PieceManifest.h"
#include "ServerExchange.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace bilberry {

// Longest time for which a peer's request is held while the requested piece or manifest is being fetched; it ends before the
// peer's own timeout.
static constexpr Milliseconds maxPieceRequestWait { 2000 };
static constexpr Milliseconds maxManifestRequestWait { 700 };
// Share of the VM's link that uploads may use.
static constexpr double uploadLinkShare = 0.9;

// Returns the time that a piece takes at the rate limit of uploads; zero when the link's rate is unknown. A link over which
// pieces arrive slowly is taken to be as slow in the other direction.
static Duration uploadDuration(size_t bytes, const FetchWindow& window, TimePoint now)
{
    double rate = sendRate(window, now);
    if (rate <= 0)
        return Duration(0);
    double seconds = static_cast<double>(bytes) / (rate * uploadLinkShare);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Status for a peer that asks for a piece while the engine is gone: unlike after a 404, the peer asks its next source at once.
static constexpr int statusWithoutEngine = 503;

// Answers a peer's request, or holds it until the piece or manifest has arrived. The paths are:
// - /pieces/VERSION/PIECE returns a piece to a peer of the same region;
// - /imports/VERSION/PIECE returns a piece to a peer of another region, which then serves it to the agents of its own region;
// - /manifests/VERSION returns the manifest of a version.
void AgentNode::answerPeerRequest(const std::shared_ptr<ServerExchange>& exchange)
{
    const auto& path = exchange->request().path;
    std::vector<std::string> segments = absl::StrSplit(path, '/', absl::SkipEmpty());
    uint32_t version = 0;
    uint32_t piece = 0;
    bool isImport = segments.size() == 3 && segments[0] == "imports";
    bool isPieceRequest = segments.size() == 3 && (isImport || segments[0] == "pieces") && absl::SimpleAtoi(segments[1], &version) && absl::SimpleAtoi(segments[2], &piece);
    bool isManifestRequest = segments.size() == 2 && segments[0] == "manifests" && absl::SimpleAtoi(segments[1], &version);
    bool isCurrentVersion = this->manifest.version == version && version != 0;
    this->peerRequestedVersion = std::max(this->peerRequestedVersion, isPieceRequest || isManifestRequest ? version : 0);
    bool isVersionToBeFetched = version > this->manifest.version && version <= this->wantedVersion();
    bool isLoadedByEngine = this->engineReport && this->serviceSummary && servesVersion(*this->engineReport, this->serviceSummary->model, version);
    if (isPieceRequest && !this->engineReport) {
        exchange->sendResponse(statusWithoutEngine, {}, {});
    } else if (isPieceRequest && isCurrentVersion && piece < this->manifest.digests.size()) {
        this->answerPieceRequest({ exchange, piece, true, isImport });
    } else if (isPieceRequest && isVersionToBeFetched && !isLoadedByEngine) {
        this->pendingPieceRequests.push_back({ { exchange, piece, true, isImport }, version, Clock::now() + maxPieceRequestWait });
    } else if (isPieceRequest && isLoadedByEngine) {
        this->enqueueUpload({ exchange, piece, false, isImport });
    } else if (isManifestRequest && isCurrentVersion) {
        exchange->sendResponse(200, { { "Content-Type", "application/msgpack" } }, encodeManifest(this->manifest));
    } else if (isManifestRequest && version > this->manifest.version && !isLoadedByEngine) {
        this->pendingManifestRequests.push_back({ exchange, version, Clock::now() + maxManifestRequestWait });
    } else {
        exchange->sendResponse(404, {}, {});
    }
}

void AgentNode::answerPieceRequest(PieceRequest request)
{
    if (this->isPieceStaged[request.piece])
        this->enqueueUpload(std::move(request));
    else
        this->pendingPieceRequests.push_back({ std::move(request), this->manifest.version, Clock::now() + maxPieceRequestWait });
}

// Queues an upload. Uploads are sent one after the other, at a rate that leaves capacity on the VM's link for the responses of
// its engine. Uploads to other regions go first, because a whole region waits for each of them.
void AgentNode::enqueueUpload(PieceRequest request)
{
    auto isWithinRegion = [](const PieceRequest& waiting) { return !waiting.isCrossRegion; };
    auto position = request.isCrossRegion ? std::find_if(this->uploadQueue.begin(), this->uploadQueue.end(), isWithinRegion) : this->uploadQueue.end();
    this->uploadQueue.insert(position, std::move(request));
    if (this->uploadQueue.size() == 1)
        this->sendNextUpload();
}

void AgentNode::sendNextUpload()
{
    // A peer cancels its requests when it drops a version.
    while (!this->uploadQueue.empty() && this->uploadQueue.front().exchange->hasCallerLeft())
        this->uploadQueue.pop_front();
    if (this->uploadQueue.empty())
        return;
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
    this->nextUploadAt = now + uploadDuration(this->serviceSummary->model.chunkBytes, this->fetchWindow, now);
    if (next.shouldVerify)
        this->sendVerifiedPiece(next.exchange, next.piece);
    else
        this->sendUnverifiedPiece(next.exchange, next.piece);
    if (!this->uploadQueue.empty())
        this->sendNextUpload();
}

// Sends a piece of the version that the engine has loaded. The piece isn't verified, since this agent doesn't have the digests
// of that version; the receiving peer verifies it.
void AgentNode::sendUnverifiedPiece(const std::shared_ptr<ServerExchange>& exchange, uint32_t piece)
{
    this->idleEngineCaller().get(this->adapter.engine.stageReadPath(this->serviceSummary->model.name, piece), engineTimeout, [exchange](const CallResult& result) {
        exchange->sendResponse(result.status == 200 ? 200 : 404, {}, result.status == 200 ? result.body : std::string());
    });
}

// Reads a piece from the stage and sends it, or answers 404 when its digest doesn't match. A piece that has become corrupt is
// fetched again.
void AgentNode::sendVerifiedPiece(const std::shared_ptr<ServerExchange>& exchange, uint32_t piece)
{
    uint32_t version = this->manifest.version;
    this->idleEngineCaller().get(this->adapter.engine.stageReadPath(this->serviceSummary->model.name, piece), engineTimeout, [this, exchange, version, piece](const CallResult& result) {
        bool isCurrent = this->manifest.version == version;
        bool hasRightDigest = isCurrent && result.status == 200 && sha256Hex(result.body) == this->manifest.digests[piece];
        if (isCurrent && !hasRightDigest)
            this->isPieceStaged[piece] = false;
        exchange->sendResponse(hasRightDigest ? 200 : 404, {}, hasRightDigest ? result.body : std::string());
    });
}

void AgentNode::answerPendingManifestRequests()
{
    auto bytes = encodeManifest(this->manifest);
    for (const auto& request : this->pendingManifestRequests) {
        bool isSameVersion = request.version == this->manifest.version;
        request.exchange->sendResponse(isSameVersion ? 200 : 404, { { "Content-Type", "application/msgpack" } }, isSameVersion ? bytes : std::string());
    }
    this->pendingManifestRequests.clear();
}

void AgentNode::answerPendingPieceRequests(uint32_t piece)
{
    std::vector<PendingPieceRequest> kept;
    auto waiting = std::move(this->pendingPieceRequests);
    this->pendingPieceRequests.clear();
    for (auto& request : waiting) {
        if (request.pieceRequest.piece == piece && request.version == this->manifest.version)
            this->enqueueUpload(std::move(request.pieceRequest));
        else
            kept.push_back(std::move(request));
    }
    this->pendingPieceRequests.insert(this->pendingPieceRequests.end(), std::make_move_iterator(kept.begin()), std::make_move_iterator(kept.end()));
}

void AgentNode::refusePendingPieceRequests()
{
    for (const auto& request : this->pendingPieceRequests)
        request.pieceRequest.exchange->sendResponse(statusWithoutEngine, {}, {});
    this->pendingPieceRequests.clear();
}

// Answers 404 to the requests that have been held for the longest allowed time, and removes them.
template <typename Held, typename ExchangeOf>
static void expireRequests(std::vector<Held>& waiting, TimePoint now, const std::string& body, ExchangeOf exchangeOf)
{
    auto isExpired = [&](const Held& request) { return now >= request.expiresAt; };
    for (const auto& request : waiting) {
        if (isExpired(request))
            exchangeOf(request)->sendResponse(404, {}, body);
    }
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(), isExpired), waiting.end());
}

void AgentNode::expirePendingRequests(TimePoint now)
{
    bool isAwaited = this->isOriginAway && this->isFetchHurried();
    expireRequests(this->pendingPieceRequests, now, isAwaited ? std::string(awaitedAnswer) : std::string(), [](const PendingPieceRequest& request) { return request.pieceRequest.exchange; });
    expireRequests(this->pendingManifestRequests, now, {}, [](const PendingManifestRequest& request) { return request.exchange; });
}

} // namespace bilberry
