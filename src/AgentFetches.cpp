/// The part of an agent that brings pieces to its engine's stage.

#include "AgentNode.h"

#include "Digest.h"

#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

// Paths of a piece at a peer: for this agent, and for one that passes it on in another region.
static constexpr std::string_view piecePathPrefix = "/pieces/";
static constexpr std::string_view importPathPrefix = "/imports/";
// Longest time for a piece, a wait at its source included.
static constexpr Milliseconds pieceTimeout { 2500 };
// How often a peer that doesn't have a piece yet is asked before another one is.
static constexpr uint32_t maxNotFoundPerSource = 4;
// Pause before a piece is asked for again at the same place.
static constexpr Milliseconds pieceRetryDelay { 200 };
// Pieces that are fetched from the origin at a time; all agents share its connections, and a piece that is here soon can be
// passed on soon.
static constexpr size_t maxConcurrentOriginFetches = 1;

void AgentNode::startFetches(TimePoint now)
{
    if (this->manifest.version == 0 || this->manifest.version != this->wantedVersion())
        return;
    auto count = static_cast<uint32_t>(this->manifest.digests.size());
    auto agents = this->agentsFor(this->manifest.version);
    // Pieces that this agent brings into its region come first: the others wait for them.
    auto isOwn = [&](uint32_t piece) { return importerOf(piece, this->settings.place.regionByDataCentre[this->settings.place.dataCentre], agents) == this->settings.ip; };
    auto isOriginBusy = [&] {
        auto isAtOrigin = [](const auto& fetch) { return fetch->isRunning && fetch->isFromOrigin; };
        return static_cast<size_t>(std::count_if(this->fetches.begin(), this->fetches.end(), isAtOrigin)) >= maxConcurrentOriginFetches;
    };
    auto asksOrigin = [&](uint32_t piece) { return this->currentSourceFor(piece, agents).isOrigin; };
    auto offset = static_cast<uint32_t>(std::hash<std::string>()(this->settings.ip) % count);
    for (bool wantsOwn : { true, false }) {
        for (uint32_t i = 0; i < count; ++i) {
            uint32_t piece = (i + offset) % count;
            bool isWanted = !this->isPieceStaged[piece] && !this->isPieceInProgress[piece] && now >= this->earliestRetryAt[piece] && isOwn(piece) == wantsOwn;
            if (!isWanted)
                continue;
            if (isOriginBusy() && asksOrigin(piece))
                continue;
            auto free = std::find_if(this->fetches.begin(), this->fetches.end(), [](const auto& fetch) { return !fetch->isRunning; });
            if (free == this->fetches.end())
                return;
            this->startFetch(**free, piece, this->currentSourceFor(piece, agents));
        }
    }
}

// The place to ask for a piece now; each failure goes on to the next one.
PieceSource AgentNode::currentSourceFor(uint32_t piece, const std::vector<AgentPeer>& agents) const
{
    PieceSourceQuery question { piece, this->settings.ip, this->settings.place.regionByDataCentre.at(this->settings.place.dataCentre), this->originRegion() };
    auto sources = pieceSources(question, agents);
    return sources[this->failedSourceCounts[piece] % sources.size()];
}

void AgentNode::startFetch(Fetch& fetch, uint32_t piece, const PieceSource& source)
{
    if (source.isOrigin && !this->brief->origin)
        return;
    Address address = source.isOrigin ? *this->brief->origin : Address { source.host, this->settings.peerPort };
    auto path = source.isOrigin ? this->dialect.engine.piecePath(this->brief->model.name, this->manifest.version, piece) : fmt::format("{}{}/{}", source.isInOwnRegion ? piecePathPrefix : importPathPrefix, this->manifest.version, piece);
    if (!fetch.caller)
        fetch.caller = std::make_unique<HttpCaller>(this->loop, address);
    fetch.caller->setAddress(address);
    fetch.isRunning = true;
    fetch.piece = piece;
    fetch.version = this->manifest.version;
    fetch.isFromOrigin = source.isOrigin;
    this->isPieceInProgress[piece] = true;
    fetch.caller->get(path, pieceTimeout, [this, &fetch](const CallResult& result) { this->finishFetch(fetch, result); });
}

void AgentNode::finishFetch(Fetch& fetch, const CallResult& result)
{
    fetch.isRunning = false;
    // All agents share the connections that the origin bears.
    if (fetch.isFromOrigin)
        fetch.caller->close();
    this->metrics.count("bilberry_piece_bytes_total", { { "source", fetch.isFromOrigin ? "origin" : "peer" } }, static_cast<double>(result.body.size()));
    if (fetch.version != this->manifest.version)
        return;
    bool isGood = result.status == 200 && sha256Hex(result.body) == this->manifest.digests[fetch.piece];
    if (isGood) {
        this->stagePiece(fetch.piece, result.body);
    } else {
        this->isPieceInProgress[fetch.piece] = false;
        bool isNotYet = result.status == 404 && !fetch.isFromOrigin && ++this->notFoundCounts[fetch.piece] < maxNotFoundPerSource;
        if (!isNotYet) {
            ++this->failedSourceCounts[fetch.piece];
            this->notFoundCounts[fetch.piece] = 0;
        }
        this->earliestRetryAt[fetch.piece] = Clock::now() + (fetch.isFromOrigin || isNotYet ? pieceRetryDelay : Milliseconds(0));
        this->log.write(LogLevel::Info, "piece_failed", { { "piece", fetch.piece }, { "from", toText(fetch.caller->address()) }, { "reason", result.status == 200 ? std::string("wrong digest") : result.describe() } });
    }
    this->startFetches(Clock::now());
}

// Writes a verified piece to the engine's stage.
void AgentNode::stagePiece(uint32_t piece, std::string bytes)
{
    HttpRequest request;
    request.method = "PUT";
    request.path = this->dialect.engine.stageWritePath(this->brief->model.name, piece);
    request.headers.emplace_back("Content-Type", "application/octet-stream");
    request.body = std::move(bytes);
    uint32_t version = this->manifest.version;
    this->idleEngineCaller().call(request, engineTimeout, [this, version, piece](const CallResult& result) {
        if (this->manifest.version != version)
            return;
        this->isPieceInProgress[piece] = false;
        this->isPieceStaged[piece] = result.status >= 200 && result.status < 300;
        if (!this->isPieceStaged[piece]) {
            this->log.write(LogLevel::Warning, "stage_failed", { { "piece", piece }, { "reason", result.describe() } });
            return;
        }
        this->answerPendingPieceRequests(piece);
        this->logIfAllStaged();
        this->orderLoadWhenReady(Clock::now());
    });
}

// Tells when the last piece has come.
void AgentNode::logIfAllStaged()
{
    bool isMissing = std::find(this->isPieceStaged.begin(), this->isPieceStaged.end(), false) != this->isPieceStaged.end();
    if (isMissing)
        return;
    auto sinceNamed = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->newestNamedAt());
    this->log.write(LogLevel::Info, "weights_staged", { { "version", this->manifest.version }, { "since_named_ms", sinceNamed } });
}

// Finds out whether a piece lies on the engine's stage already.
void AgentNode::verifyStagedPiece(uint32_t piece)
{
    uint32_t version = this->manifest.version;
    this->isPieceInProgress[piece] = true;
    this->idleEngineCaller().get(this->dialect.engine.stageReadPath(this->brief->model.name, piece), engineTimeout, [this, version, piece](const CallResult& result) {
        if (this->manifest.version != version)
            return;
        this->isPieceInProgress[piece] = false;
        this->isPieceStaged[piece] = result.status == 200 && sha256Hex(result.body) == this->manifest.digests[piece];
        if (this->isPieceStaged[piece])
            this->answerPendingPieceRequests(piece);
    });
}

} // namespace bilberry
