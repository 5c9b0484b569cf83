/// The part of an agent that decides which version of the weights it fetches, and gets that version's manifest.

#include "AgentNode.h"

#include "Digest.h"
#include "PieceManifest.h"
#include "ServerExchange.h"

#include <algorithm>
#include <fmt/format.h>

namespace bilberry {

static constexpr Milliseconds manifestTimeout { 1000 };
static constexpr Milliseconds manifestRetryInterval { 250 };
// The version that engines load when no version was ever named.
static constexpr uint32_t initialVersion = 1;
static constexpr std::string_view manifestPathPrefix = "/manifests/";
// Time that the read-backs and the order take beside the load, and entries to learn of the new version.
static constexpr Milliseconds orderTime { 500 };

// Records when a version was named. Usually the earliest of the times that entries state is kept. Where entries divide the engines, it is
// the closest one (closerNamingTime()), the latest known time. A summary's ages are then counted from `madeAfter`, so that a slow answer
// can't give too late a time.
void AgentNode::recordNamedVersion(const SummaryVersion& version, BootTimePoint now)
{
    bool usesClosest = this->serviceSummary && this->serviceSummary->sharesEngines;
    auto toldAt = usesClosest ? this->serviceSummary->madeAfter : now;
    NamingTime told { toldAt - version.knownFor, version.isAssumed };
    auto [known, isNew] = this->namedVersions.try_emplace(version.version, told.namedAfter);
    NamingTime kept = isNew ? told : NamingTime { known->second, this->assumedNamings.count(version.version) != 0 };
    auto closer = closerNamingTime(kept, told);
    known->second = usesClosest ? closer.namedAfter : std::min(known->second, told.namedAfter);
    if (closer.isAssumed)
        this->assumedNamings.insert(version.version);
    else
        this->assumedNamings.erase(version.version);
    if (isNew)
        this->log.write(LogLevel::Info, "weights_named", { { "version", version.version }, { "named_for_ms", version.knownFor }, { "entry", this->summaryWatch.currentEntry() } });
}

BootTimePoint AgentNode::newestNamedAt() const
{
    return this->namedVersions.empty() ? BootTimePoint() : this->namedVersions.rbegin()->second;
}

// Returns the newest version that was named, that a peer has requested, or that this or another engine of the service has
// loaded. When there is none, it is the initial version.
uint32_t AgentNode::wantedVersion() const
{
    uint32_t wanted = std::max(this->namedVersions.empty() ? initialVersion : this->namedVersions.rbegin()->first, this->peerRequestedVersion);
    if (this->serviceSummary) {
        for (const auto& engine : this->serviceSummary->engines)
            wanted = std::max(wanted, engine.version);
    }
    return std::max(wanted, this->engineReport ? this->engineReport->loadedLayersVersion : 0);
}

// Whether the manifest is of an older version than the wanted one, which the engine doesn't have and wasn't ordered to load.
// Precondition: the engine has reported.
bool AgentNode::hasOlderVersion() const
{
    bool isOlder = this->manifest.version != 0 && this->manifest.version < this->wantedVersion();
    bool isLoaded = this->manifest.version <= this->engineReport->loadedLayersVersion || this->orderedVersion == this->manifest.version;
    return isOlder && !isLoaded;
}

// Preconditions: the manifest is of an older version than the wanted one, the engine has reported, and the service is known.
OlderVersion AgentNode::describeOlderVersion() const
{
    auto now = Clock::now();
    const auto& model = this->serviceSummary->model;
    bool isServing = this->loadOrder.trust == LoadTrust::Proven && servesVersion(*this->engineReport, model, this->engineReport->loadedLayersVersion);
    FetchProgress progress;
    progress.staged = static_cast<size_t>(std::count(this->isPieceStaged.begin(), this->isPieceStaged.end(), true));
    progress.total = this->isPieceStaged.size();
    progress.pieceBytes = this->manifest.pieceBytes;
    if (progress.staged > 0)
        progress.sinceFirstStaged = std::chrono::duration_cast<Milliseconds>(now - this->firstStagedAt);
    progress.bytesPerSecond = arrivalRate(this->fetchWindow);
    OlderVersion older;
    older.version = this->manifest.version;
    older.newest = this->wantedVersion();
    older.held = isServing ? this->engineReport->loadedLayersVersion : 0;
    older.staged = progress.staged;
    older.total = progress.total;
    older.timeToFetchRest = timeToFetch(progress, progress.total - progress.staged);
    older.timeToFetchNewest = timeToFetch(progress, progress.total);
    if (this->missingManifestVersion == older.newest)
        older.newestMissingFor = std::chrono::duration_cast<Milliseconds>(now - this->manifestMissingSince);
    older.loadTime = model.warmUpTime + orderTime;
    return older;
}

// Preconditions are those of describeOlderVersion().
bool AgentNode::shouldFinishOlderVersion() const
{
    return shouldFinishVersion(this->namedVersions, this->describeOlderVersion(), this->supersessionBound(), BootClock::now());
}

// Whether an older version than the wanted one is still brought to the engine (see VersionSwitch.h). One whose manifest is doubted
// may never be complete.
bool AgentNode::isFinishingOlderVersion() const
{
    return this->hasOlderVersion() && !this->manifestTrust.isDoubted && this->shouldFinishOlderVersion();
}

// Requests the manifest of a version, unless the engine serves that version, or an older version is being fetched. One that is
// held is requested again, from the next source, when its pieces contradict it.
void AgentNode::fetchManifestIfNeeded(uint32_t version)
{
    bool isServed = servesVersion(*this->engineReport, this->serviceSummary->model, version) && this->loadOrder.trust != LoadTrust::Doubted;
    bool isMissing = this->manifest.version != version || this->manifestTrust.isDoubted;
    // An older version may only be finished because the manifest couldn't be had.
    bool couldNotBeHad = this->supersessionBound() != Milliseconds(0) && this->missingManifestVersion == version;
    if (!isServed && isMissing && (couldNotBeHad || !this->isFinishingOlderVersion()))
        this->fetchManifest();
}

// Returns the bound within which engines must switch, if the manifest's version was named; zero if there is none. The initial version
// is superseded by the first naming, and two are needed for what depends on this bound.
Milliseconds AgentNode::supersessionBound() const
{
    return this->manifest.version > initialVersion ? this->settings.reloadable.maxVersionSwitchTime : Milliseconds(0);
}

// Whether a version was named while engines still switched to the one before, so that time is short.
bool AgentNode::areVersionsInSuccession() const
{
    if (this->namedVersions.size() < 2)
        return false;
    auto newest = this->namedVersions.rbegin();
    return newest->second - std::next(newest)->second < this->settings.reloadable.maxVersionSwitchTime;
}

// Whether all agents should have the version as soon as possible: while they fetch it, another version may already not be used any
// more, or engines that wait for it are missing to competing requests.
bool AgentNode::isFetchHurried() const
{
    return this->areVersionsInSuccession() || (this->serviceSummary && this->serviceSummary->sharesEngines);
}

// The order must be the same at all agents, so it depends only on what all entries tell.
AgentOrder AgentNode::agentOrder() const
{
    return this->serviceSummary && this->serviceSummary->sharesEngines ? AgentOrder::Fixed : AgentOrder::Listed;
}

std::vector<AgentPeer> AgentNode::listAgentPeers(uint32_t version) const
{
    auto listed = listAgents(this->serviceSummary->engines, version, this->settings.location);
    bool isBegun = version == this->manifest.version && version != 0;
    return isBegun && this->isFetchHurried() ? keepOrder(this->agentsAtBegin, listed) : listed;
}

// Returns the region of the origin of weights; empty when it is unknown.
std::string AgentNode::originRegion() const
{
    auto found = this->settings.location.regionByDataCentre.find(this->serviceSummary->originDataCentre);
    return found == this->settings.location.regionByDataCentre.end() ? std::string() : found->second;
}

void AgentNode::fetchManifest()
{
    auto now = Clock::now();
    if (this->manifestCaller.isBusy() || now - this->manifestRequestedAt < manifestRetryInterval)
        return;
    this->manifestRequestedAt = now;
    uint32_t version = this->wantedVersion();
    if (version != this->requestedManifestVersion)
        this->manifestAttempts = 0;
    this->requestedManifestVersion = version;
    auto sources = manifestSources(this->settings.ownIp, this->originRegion(), this->listAgentPeers(version));
    if (this->isFetchHurried())
        sources = repeatOrigin(sources);
    const auto& source = sources[this->manifestAttempts++ % sources.size()];
    if (source.isOrigin && !this->serviceSummary->origin)
        return;
    this->manifestCaller.setAddress(source.isOrigin ? *this->serviceSummary->origin : Address { source.host, this->settings.peerPort });
    auto path = source.isOrigin ? this->adapter.engine.manifestPath(this->serviceSummary->model.name, version) : fmt::format("{}{}", manifestPathPrefix, version);
    this->manifestCaller.get(path, manifestTimeout, [this, isFromPeer = !source.isOrigin](const CallResult& result) { this->handleManifest(result, isFromPeer); });
}

// Reads an answer to a request for the manifest of the wanted version. A manifest can't be fulfilled if its pieces aren't those of the
// configured model.
absl::StatusOr<PieceManifest> AgentNode::readManifest(const CallResult& result, bool isFromPeer) const
{
    if (result.status != 200)
        return absl::UnavailableError(result.describe());
    auto parsed = isFromPeer ? decodeManifest(result.body) : this->adapter.engine.parseManifest(result.body);
    if (!parsed.ok())
        return parsed;
    const auto& model = this->serviceSummary->model;
    if (parsed->version != this->wantedVersion() || parsed->model != model.name)
        return absl::InvalidArgumentError("the manifest is for another version or model");
    if (model.chunkCount != 0 && parsed->digests.size() != model.chunkCount)
        return absl::InvalidArgumentError(fmt::format("the manifest has {} digests, and the model {} pieces", parsed->digests.size(), model.chunkCount));
    if (model.chunkBytes != 0 && parsed->pieceBytes != model.chunkBytes)
        return absl::InvalidArgumentError(fmt::format("the manifest states pieces of {} bytes, and the model has pieces of {}", parsed->pieceBytes, model.chunkBytes));
    return parsed;
}

void AgentNode::handleManifest(const CallResult& result, bool isFromPeer)
{
    this->manifestCaller.close();
    auto received = this->readManifest(result, isFromPeer);
    if (!received.ok()) {
        this->log.write(LogLevel::Warning, "manifest_failed", { { "reason", std::string(received.status().message()) } });
        this->noteManifestFailure(this->requestedManifestVersion);
        // A peer that answers 404 has no manifest, so the next source is asked without the retry delay.
        if (isFromPeer && result.status == 404)
            this->manifestRequestedAt = TimePoint();
        return;
    }
    this->missingManifestVersion = 0;
    // It was requested while it couldn't be had; now that it can, the older version may still be worth more.
    bool isOtherVersion = received->version != this->manifest.version;
    if (isOtherVersion && this->supersessionBound() != Milliseconds(0) && this->engineReport && this->isFinishingOlderVersion())
        return;
    bool isHeld = this->manifest.version == received->version && this->manifest.digests.size() == received->digests.size();
    if (isHeld)
        this->replaceManifest(*std::move(received), isFromPeer);
    else
        this->beginManifest(*std::move(received));
}

// Notes since when the manifest of a version can't be had.
void AgentNode::noteManifestFailure(uint32_t version)
{
    if (this->missingManifestVersion == version)
        return;
    this->missingManifestVersion = version;
    this->manifestMissingSince = Clock::now();
}

void AgentNode::cancelFetches()
{
    for (auto& fetch : this->fetches) {
        if (!fetch->isRunning)
            continue;
        fetch->caller->close();
        fetch->isRunning = false;
        if (fetch->version == this->manifest.version)
            this->isPieceInProgress[fetch->piece] = false;
    }
}

// Answers 404 to the requests whose pieces would be read from the stage later, when it holds those of another version.
void AgentNode::cancelUploads()
{
    auto isOfManifest = [](const PieceRequest& waiting) { return waiting.shouldVerify; };
    for (const auto& waiting : this->uploadQueue) {
        if (isOfManifest(waiting))
            waiting.exchange->sendResponse(404, {}, {});
    }
    this->uploadQueue.erase(std::remove_if(this->uploadQueue.begin(), this->uploadQueue.end(), isOfManifest), this->uploadQueue.end());
}

// Gives up a version that is superseded before the engine has it. Its pieces would delay those of the newer one on the origin's
// link and on those of the VMs.
void AgentNode::dropOlderVersion(uint32_t newer)
{
    bool isDropped = this->supersessionBound() != Milliseconds(0) && this->engineReport && this->manifest.version < newer && this->hasOlderVersion();
    if (!isDropped)
        return;
    auto staged = std::count(this->isPieceStaged.begin(), this->isPieceStaged.end(), true);
    this->metrics.addToCounter("bilberry_versions_skipped_total");
    this->log.write(LogLevel::Info, "weights_skipped", { { "version", this->manifest.version }, { "newest", newer }, { "staged", static_cast<uint64_t>(staged) }, { "pieces", static_cast<uint64_t>(this->isPieceStaged.size()) } });
    this->cancelFetches();
    this->cancelUploads();
}

// Starts to bring a version to the engine.
void AgentNode::beginManifest(PieceManifest received)
{
    this->dropOlderVersion(received.version);
    this->manifestBegunAt = Clock::now();
    this->firstStagedAt = TimePoint();
    this->agentsAtBegin = listAgents(this->serviceSummary->engines, received.version, this->settings.location);
    this->manifest = std::move(received);
    voidReads(this->loadOrder);
    size_t count = this->manifest.digests.size();
    this->manifestTrust = makeManifestTrust(count);
    this->isPieceStaged.assign(count, false);
    this->isPieceInProgress.assign(count, false);
    this->failedSourceCounts.assign(count, 0);
    this->notFoundAnswers.assign(count, NotFoundAnswers());
    this->isOriginAway = false;
    this->hasReachedOrigin = false;
    this->earliestRetryAt.assign(count, TimePoint());
    this->log.write(LogLevel::Info, "weights_begun", { { "version", this->manifest.version }, { "pieces", static_cast<uint64_t>(count) } });
    // Pieces that an earlier process or an earlier version left on the stage can be reused when their digests match.
    for (uint32_t piece = 0; piece < count; ++piece)
        this->verifyStagedPiece(piece);
    this->answerPendingManifestRequests();
}

// Takes over what another manifest of the version that is being fetched states otherwise. A peer that sends the doubted one again
// has it from the same source, so the next source is asked; only the origin confirms it.
void AgentNode::replaceManifest(PieceManifest received, bool isFromPeer)
{
    size_t changed = 0;
    voidReads(this->loadOrder);
    for (uint32_t piece = 0; piece < received.digests.size(); ++piece) {
        if (received.digests[piece] == this->manifest.digests[piece])
            continue;
        ++changed;
        this->manifest.digests[piece] = received.digests[piece];
        this->manifestTrust.pieces[piece] = PieceEvidence();
        this->failedSourceCounts[piece] = 0;
        this->notFoundAnswers[piece] = NotFoundAnswers();
        this->isPieceStaged[piece] = false;
        this->earliestRetryAt[piece] = TimePoint();
        if (!this->isPieceInProgress[piece])
            this->verifyStagedPiece(piece);
    }
    this->log.write(LogLevel::Warning, "manifest_fetched_again", { { "version", received.version }, { "changed_digests", static_cast<uint64_t>(changed) }, { "from_peer", isFromPeer } });
    if (changed > 0 || !isFromPeer)
        endDoubt(this->manifestTrust);
}

} // namespace bilberry
