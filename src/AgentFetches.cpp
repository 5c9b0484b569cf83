/// The part of an agent that fetches pieces from peers or the origin and writes them to its engine's stage.

#include "AgentNode.h"

#include "Digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

// Paths of a piece at a peer. Agents of the same region use the first. An agent of another region uses the second, and then
// serves the piece to the other agents of its own region.
static constexpr std::string_view piecePathPrefix = "/pieces/";
static constexpr std::string_view importPathPrefix = "/imports/";
// Timeout of the request for a piece. It includes the time for which a peer may hold the request.
static constexpr Milliseconds pieceTimeout { 2500 };
// Delay before a piece is requested again after a 404 answer of a peer or a failure at the origin.
static constexpr Milliseconds pieceRetryDelay { 200 };
// Largest piece that is accepted, whatever the manifest states.
static constexpr size_t maxPieceBytes = 4 << 20;
// Limit of concurrent fetches from the origin. All agents share the connections that the origin accepts. One fetch at a time
// also completes each piece sooner, so that it can be passed on sooner.
static constexpr size_t maxConcurrentOriginFetches = 1;
// Factor on the number of pieces that may be on their way while versions follow each other quickly: along the trees, about half of the
// requests wait at peers, where they take no room on the link. Otherwise requests to the engine would wait behind the pieces for longer.
static constexpr size_t hurriedWindowFactor = 2;

// Whether the stage shows what the engine's layers were taken from. Doubted layers are judged by it; that of spoilt layers is left
// for a later process of the agent, which doubts them again. Precondition: the engine has reported.
bool AgentNode::isStageEvidence() const
{
    bool isOfSpoiltLayers = this->loadOrder.trust == LoadTrust::Spoilt && this->manifest.version == this->engineReport->loadedLayersVersion;
    return this->loadOrder.trust == LoadTrust::Doubted || isOfSpoiltLayers;
}

void AgentNode::startFetches(TimePoint now)
{
    // Without its engine the agent has no place for pieces.
    if (!this->engineReport || !this->serviceSummary || this->isStageEvidence())
        return;
    // While the manifest of a newer version can't be had, the older one goes on: the origin may be away for long.
    bool isNeeded = this->manifest.version == this->wantedVersion() || this->manifest.version > this->engineReport->loadedLayersVersion;
    if (this->manifest.version == 0 || !isNeeded)
        return;
    bool givesWay = this->hasOlderVersion() && !shouldFetchOlderVersion(this->namedVersions, this->describeOlderVersion(), this->supersessionBound(), BootClock::now());
    if (givesWay) {
        this->cancelFetches();
        return;
    }
    auto count = static_cast<uint32_t>(this->manifest.digests.size());
    auto agents = this->listAgentPeers(this->manifest.version);
    // The pieces that this agent passes on in its region are fetched first, because the region's other agents wait for them.
    const auto& region = this->settings.location.regionByDataCentre[this->settings.location.dataCentre];
    bool isHurried = this->isFetchHurried();
    auto isPassedOnByThisAgent = [&](uint32_t piece) { return importerOf(piece, region, agents, this->agentOrder()) == this->settings.ownIp; };
    double linkRate = this->fetchWindow.nominalBytesPerSecond;
    auto isTooEarly = [&](uint32_t piece) { return isHurried && now - this->manifestBegunAt < originRequestDelay(piece, this->manifest.pieceBytes, linkRate); };
    auto isOriginLimitReached = [&] {
        auto isOriginFetch = [](const auto& fetch) { return fetch->isRunning && fetch->isFromOrigin; };
        return static_cast<size_t>(std::count_if(this->fetches.begin(), this->fetches.end(), isOriginFetch)) >= maxConcurrentOriginFetches;
    };
    // Peers may hold requests; one of the concurrent fetches is kept free for a piece that this agent passes on.
    size_t most = this->fetches.size() - (isHurried ? 1 : 0);
    size_t allowed = allowedFetches(this->fetchWindow, this->manifest.pieceBytes, most);
    if (this->areVersionsInSuccession())
        allowed = std::min(most, allowed * hurriedWindowFactor);
    auto isWindowFull = [&] { return static_cast<size_t>(std::count_if(this->fetches.begin(), this->fetches.end(), [](const auto& fetch) { return fetch->isRunning; })) >= allowed; };
    auto isSourceOrigin = [&](uint32_t piece) { return this->currentSourceFor(piece, agents).isOrigin; };
    // Along the trees, pieces come in the order in which the origin is asked for them. Elsewhere, each agent begins with another one,
    // so that not all ask the same peer at once.
    auto offset = isHurried ? 0 : static_cast<uint32_t>(std::hash<std::string>()(this->settings.ownIp) % count);
    for (bool wantsPassedOn : { true, false }) {
        for (uint32_t i = 0; i < count; ++i) {
            uint32_t piece = (i + offset) % count;
            bool isFetchable = !this->isPieceStaged[piece] && !this->isPieceInProgress[piece] && now >= this->earliestRetryAt[piece] && isPassedOnByThisAgent(piece) == wantsPassedOn;
            if (!isFetchable)
                continue;
            if (isSourceOrigin(piece) && (isOriginLimitReached() || isTooEarly(piece)))
                continue;
            // Peers hold requests while the origin is away. They must not keep the agent from what its own peers wait for.
            bool isReserved = isHurried && wantsPassedOn;
            if (!isReserved && isWindowFull())
                return;
            auto free = std::find_if(this->fetches.begin(), this->fetches.end(), [](const auto& fetch) { return !fetch->isRunning; });
            if (free == this->fetches.end())
                return;
            this->startFetch(**free, piece, this->currentSourceFor(piece, agents));
        }
    }
}

// Returns the source to ask for a piece now. Each failed source makes the agent go on to the next one in the list.
PieceSource AgentNode::currentSourceFor(uint32_t piece, const std::vector<AgentPeer>& agents) const
{
    PieceSourceQuery query { piece, this->settings.ownIp, this->settings.location.regionByDataCentre.at(this->settings.location.dataCentre), this->originRegion() };
    query.isHurried = this->isFetchHurried();
    query.order = this->agentOrder();
    auto sources = pieceSources(query, agents);
    return sources[this->failedSourceCounts[piece] % sources.size()];
}

void AgentNode::startFetch(Fetch& fetch, uint32_t piece, const PieceSource& source)
{
    if (source.isOrigin && !this->serviceSummary->origin)
        return;
    Address address = source.isOrigin ? *this->serviceSummary->origin : Address { source.host, this->settings.peerPort };
    auto path = source.isOrigin ? this->adapter.engine.piecePath(this->serviceSummary->model.name, this->manifest.version, piece) : fmt::format("{}{}/{}", source.isInOwnRegion ? piecePathPrefix : importPathPrefix, this->manifest.version, piece);
    if (!fetch.caller)
        fetch.caller = std::make_unique<HttpCaller>(this->loop, address);
    fetch.caller->setAddress(address);
    fetch.caller->setMaxResponseBytes(std::min(this->manifest.pieceBytes, maxPieceBytes));
    fetch.isRunning = true;
    fetch.piece = piece;
    fetch.version = this->manifest.version;
    fetch.isFromOrigin = source.isOrigin;
    this->isPieceInProgress[piece] = true;
    fetch.caller->get(path, pieceTimeout, [this, &fetch](const CallResult& result) { this->finishFetch(fetch, result); });
}

void AgentNode::recordPieceArrival(const Fetch& fetch, const CallResult& result, TimePoint now)
{
    if (result.status != 200)
        return;
    this->isOriginAway = false;
    this->hasReachedOrigin = this->hasReachedOrigin || fetch.isFromOrigin;
    recordArrival(this->fetchWindow, { result.headReceivedAt, now, result.body.size(), fetch.isFromOrigin });
}

void AgentNode::finishFetch(Fetch& fetch, const CallResult& result)
{
    fetch.isRunning = false;
    this->recordPieceArrival(fetch, result, Clock::now());
    // All agents share the connections that the origin accepts, so the connection is closed.
    if (fetch.isFromOrigin)
        fetch.caller->close();
    this->metrics.addToCounter("bilberry_piece_bytes_total", { { "source", fetch.isFromOrigin ? "origin" : "peer" } }, static_cast<double>(result.body.size()));
    if (fetch.version != this->manifest.version)
        return;
    auto digest = result.status == 200 ? sha256Hex(result.body) : std::string();
    if (digest == this->manifest.digests[fetch.piece])
        this->stagePiece(fetch.piece, result.body);
    else
        this->noteFailedFetch(fetch, result, digest);
    this->startFetches(Clock::now());
}

// Goes on to the next source of a piece, and doubts the manifest when pieces contradict it. `digest` is that of the received piece,
// empty if none was received.
void AgentNode::noteFailedFetch(const Fetch& fetch, const CallResult& result, const std::string& digest)
{
    auto now = Clock::now();
    this->isPieceInProgress[fetch.piece] = false;
    bool isNotFound = result.status == 404 && !fetch.isFromOrigin;
    // Who has reached the origin knows that it is the peer that can't.
    bool isAwaited = isNotFound && result.body == awaitedAnswer && !this->hasReachedOrigin;
    bool isOriginOutOfReach = fetch.isFromOrigin && result.status == 0 && !result.hasTimedOut;
    if (isOriginOutOfReach)
        this->hasReachedOrigin = false;
    this->isOriginAway = this->isOriginAway || isOriginOutOfReach || isAwaited;
    bool mayRetrySource = isNotFound && mayAskSourceAgain(this->notFoundAnswers[fetch.piece], isAwaited);
    if (!mayRetrySource) {
        ++this->failedSourceCounts[fetch.piece];
        this->notFoundAnswers[fetch.piece] = NotFoundAnswers();
    }
    if (!digest.empty())
        noteWrongPiece(this->manifestTrust, { fetch.piece, digest, !fetch.isFromOrigin }, now);
    bool shouldWait = fetch.isFromOrigin || mayRetrySource || this->manifestTrust.isDoubted;
    auto retryDelay = pieceRetryDelay;
    // Once the origin is back, it is to send the pieces one after the other (see originRequestDelay()).
    if (isOriginOutOfReach && this->serviceSummary->sharesEngines)
        retryDelay += originRequestDelay(fetch.piece, this->manifest.pieceBytes, this->fetchWindow.nominalBytesPerSecond);
    this->earliestRetryAt[fetch.piece] = now + (shouldWait ? retryDelayAfterWrongPieces(this->manifestTrust, fetch.piece, retryDelay) : Milliseconds(0));
    this->log.write(LogLevel::Info, "piece_failed", { { "piece", fetch.piece }, { "from", toText(fetch.caller->address()) }, { "reason", digest.empty() ? result.describe() : std::string("the digest of the piece does not match the manifest") } });
    if (this->manifestTrust.isDoubted)
        this->fetchManifestIfNeeded(this->wantedVersion());
}

// Writes a verified piece to the engine's stage, and then answers the peers that wait for it.
void AgentNode::stagePiece(uint32_t piece, std::string bytes)
{
    if (this->isStageEvidence()) {
        this->isPieceInProgress[piece] = false;
        return;
    }
    HttpRequest request;
    request.method = "PUT";
    request.path = this->adapter.engine.stageWritePath(this->serviceSummary->model.name, piece);
    request.headers.emplace_back("Content-Type", "application/octet-stream");
    request.body = std::move(bytes);
    uint32_t version = this->manifest.version;
    notePieceWritten(this->loadOrder);
    this->idleEngineCaller().sendRequest(request, engineTimeout, [this, version, piece](const CallResult& result) {
        if (this->manifest.version != version)
            return;
        this->isPieceInProgress[piece] = false;
        this->isPieceStaged[piece] = result.status >= 200 && result.status < 300;
        if (!this->isPieceStaged[piece]) {
            this->earliestRetryAt[piece] = Clock::now() + pieceRetryDelay;
            // The engine may have gone; its report tells.
            this->requestReport();
            this->log.write(LogLevel::Warning, "stage_failed", { { "piece", piece }, { "reason", result.describe() } });
            return;
        }
        this->noteStaged();
        this->answerPendingPieceRequests(piece);
        this->logIfAllStaged();
        this->orderLoadWhenReady(Clock::now());
    });
}

void AgentNode::noteStaged()
{
    if (this->firstStagedAt == TimePoint())
        this->firstStagedAt = Clock::now();
}

// Logs that the version is complete once its last piece is staged.
void AgentNode::logIfAllStaged()
{
    bool isMissing = std::find(this->isPieceStaged.begin(), this->isPieceStaged.end(), false) != this->isPieceStaged.end();
    if (isMissing)
        return;
    auto sinceNamed = std::chrono::duration_cast<Milliseconds>(BootClock::now() - this->newestNamedAt());
    this->log.write(LogLevel::Info, "weights_staged", { { "version", this->manifest.version }, { "since_named_ms", sinceNamed } });
}

// Reads a piece back from the engine's stage and checks its digest; a missing or wrong piece is fetched afterwards.
void AgentNode::verifyStagedPiece(uint32_t piece)
{
    uint32_t version = this->manifest.version;
    this->isPieceInProgress[piece] = true;
    this->idleEngineCaller().get(this->adapter.engine.stageReadPath(this->serviceSummary->model.name, piece), engineTimeout, [this, version, piece](const CallResult& result) {
        if (this->manifest.version != version)
            return;
        this->isPieceInProgress[piece] = false;
        this->isPieceStaged[piece] = result.status == 200 && sha256Hex(result.body) == this->manifest.digests[piece];
        if (!this->isPieceStaged[piece])
            return;
        this->noteStaged();
        this->answerPendingPieceRequests(piece);
    });
}

} // namespace bilberry
