/// The part of an agent that orders its engine to load the staged pieces.

#include "AgentNode.h"

#include "CapacityPlan.h"
#include "Digest.h"

#include <algorithm>

namespace bilberry {

// Time after which a load order that has had no effect is repeated.
static constexpr Milliseconds loadOrderRetryInterval { 1500 };

// Status of the answer to an order that the engine has accepted and that loads something.
static constexpr int statusOrderBegun = 202;

static Milliseconds inMilliseconds(BootClock::duration time)
{
    return std::chrono::duration_cast<Milliseconds>(time);
}

// Returns whether the time at which this engine switches to the newer version has come. The engines of a data centre switch
// one after the other (see VersionSwitch.h), and one that leaves doesn't switch (see CapacityPlan.h).
bool AgentNode::isSwitchDue(BootTimePoint now, bool isServing) const
{
    auto order = switchOrderOf(this->serviceSummary->engines, this->settings.location.dataCentre);
    auto turn = loadTurn(order, this->settings.ownIp, isServing);
    if (turn != LoadTurn::InOrder)
        return turn == LoadTurn::AtOnce;
    auto switchDelayStart = supersededAt(this->namedVersions, this->engineReport->loadedLayersVersion);
    // The engine must leave an older version at once when an even newer one is to follow.
    bool isFollowed = this->manifest.version < this->wantedVersion();
    if (switchDelayStart == BootTimePoint::max() || isFollowed)
        return true;
    auto use = supersededUse(this->serviceSummary->sharesEngines);
    auto delay = plannedDelay(order, this->settings.ownIp, this->settings.reloadable.maxVersionSwitchTime, use);
    return delay && now - switchDelayStart >= *delay;
}

// Whether the complete version isn't to be loaded, since a newer one is known and requests could begin on this one for too short a
// time. Preconditions: the engine has reported, and the service is known.
bool AgentNode::isLoadSuperseded() const
{
    bool isOlder = this->manifest.version != 0 && this->manifest.version < this->wantedVersion();
    return this->supersessionBound() != Milliseconds(0) && isOlder && !this->shouldFinishOlderVersion();
}

void AgentNode::orderLoadWhenReady(TimePoint now)
{
    if (!this->engineReport || !this->serviceSummary)
        return;
    if (this->loadOrder.trust == LoadTrust::Doubted) {
        this->verifyDoubtedLayers();
        return;
    }
    bool isComplete = this->manifest.version != 0 && std::find(this->isPieceStaged.begin(), this->isPieceStaged.end(), false) == this->isPieceStaged.end();
    bool isUnderWay = !areReadsDue(this->loadOrder, BootClock::now()) || this->loadOrder.isOrderInFlight || this->engineReport->isBusy;
    if (!isComplete || isUnderWay || servesVersion(*this->engineReport, this->serviceSummary->model, this->manifest.version))
        return;
    bool isOrdered = this->orderedVersion == this->manifest.version && now - this->loadOrderedAt < loadOrderRetryInterval;
    if (isOrdered)
        return;
    if (this->isLoadSuperseded())
        return;
    bool isUnused = this->engineReport->loadedLayers < this->serviceSummary->model.layerCount || this->loadOrder.trust != LoadTrust::Proven;
    if (!this->isSwitchDue(BootClock::now(), !isUnused))
        return;
    // Entries stop sending requests to the engine before the pieces are read back, and don't begin to before the load is proven, also
    // if this process ends meanwhile.
    this->notifyEntries(0);
    this->readBackPieces();
}

// Reads back the pieces of layers that were taken at an unknown time. Nothing is written to the stage meanwhile, so pieces that are
// sound now were so then.
void AgentNode::verifyDoubtedLayers()
{
    bool isUnderWay = !areReadsDue(this->loadOrder, BootClock::now()) || this->loadOrder.isOrderInFlight || this->engineReport->isBusy;
    if (isUnderWay || this->manifest.version == 0)
        return;
    // The stage holds, or is to hold, the pieces of another version.
    if (this->manifest.version != this->engineReport->loadedLayersVersion)
        this->finishVerification(BatchState::Spoilt);
    else
        this->readBackPieces();
}

void AgentNode::finishVerification(BatchState state)
{
    judgeDoubtedLayers(this->loadOrder, state);
    auto trust = this->loadOrder.trust;
    if (trust == LoadTrust::Doubted)
        return;
    this->log.write(trust == LoadTrust::Proven ? LogLevel::Info : LogLevel::Warning, trust == LoadTrust::Proven ? "load_verified" : "load_spoilt", { { "version", this->engineReport->loadedLayersVersion } });
    if (trust != LoadTrust::Proven)
        return;
    this->areLayersFound = false;
    this->noticeUntil = Clock::now() + noticeDuration;
}

// Doubts layers that an earlier process of the agent had loaded for a version that was named recently. Precondition: the engine has
// reported.
void AgentNode::judgeEarlierOrders()
{
    auto named = this->namedVersions.find(this->engineReport->loadedLayersVersion);
    if (named != this->namedVersions.end())
        noteVersionNamedFor(this->loadOrder, BootClock::now() - named->second);
}

// Logs when layers become doubted, and keeps requests away from an engine whose layers may be spoilt. Layers that an earlier process of
// the agent had loaded stay in use while they are verified, unless that process has withheld them: many agents may start at once.
void AgentNode::guardLayers(LoadTrust earlier)
{
    auto trust = this->loadOrder.trust;
    if (trust == LoadTrust::Doubted && earlier != LoadTrust::Doubted)
        this->log.write(LogLevel::Warning, "load_doubted", { { "version", this->orderedVersion }, { "reason", "accepted_at_unknown_time" } });
    bool areOnlyFound = trust == LoadTrust::Doubted && this->areLayersFound;
    if (trust != LoadTrust::Proven && !areOnlyFound)
        this->withholdLayers();
}

// Reads all pieces back right before the load order, because a staged piece may have become corrupt.
void AgentNode::readBackPieces()
{
    auto count = static_cast<uint32_t>(this->manifest.digests.size());
    uint64_t batch = beginReads(this->loadOrder, count, BootClock::now());
    for (uint32_t piece = 0; piece < count; ++piece) {
        this->idleEngineCaller().get(this->adapter.engine.stageReadPath(this->serviceSummary->model.name, piece), engineTimeout, [this, batch, piece](const CallResult& result) {
            bool isVoid = !this->loadOrder.isReading || this->loadOrder.batch != batch;
            if (isVoid)
                return;
            auto state = this->stateOfReadPiece(piece, result);
            if (state == PieceState::Spoilt)
                this->isPieceStaged[piece] = false;
            this->finishReads(noteRead(this->loadOrder, batch, state));
        });
    }
}

// Precondition: the batch of the read isn't void.
PieceState AgentNode::stateOfReadPiece(uint32_t piece, const CallResult& result) const
{
    bool hasRightDigest = result.status == 200 && sha256Hex(result.body) == this->manifest.digests[piece];
    if (hasRightDigest)
        return PieceState::Sound;
    return result.status == 200 || result.status == 404 ? PieceState::Spoilt : PieceState::Unknown;
}

void AgentNode::finishReads(BatchState state)
{
    bool isOver = state != BatchState::Pending && this->engineReport;
    if (!isOver)
        return;
    if (state == BatchState::Unknown)
        this->postponeReads("no_answer");
    if (this->loadOrder.trust == LoadTrust::Doubted) {
        this->finishVerification(state);
        return;
    }
    if (state != BatchState::Sound)
        return;
    // Entries learn with the next report that the engine goes on with what it has.
    if (this->isLoadSuperseded())
        return;
    if (auto timeout = orderTimeout(this->loadOrder, BootClock::now()))
        this->orderLoad(*timeout);
    else
        this->postponeReads("slow_reads");
}

void AgentNode::postponeReads(const char* reason)
{
    auto now = BootClock::now();
    delayReads(this->loadOrder, now);
    this->log.write(LogLevel::Warning, "load_postponed", { { "version", this->manifest.version }, { "reason", reason }, { "oldest_read_ms", inMilliseconds(now - this->loadOrder.readsSentAt) } });
}

void AgentNode::orderLoad(Milliseconds timeout)
{
    this->loadOrderedAt = Clock::now();
    this->orderedVersion = this->manifest.version;
    noteOrderSent(this->loadOrder);
    auto order = this->adapter.engine.makeLoadOrder(this->serviceSummary->model.name, this->orderedVersion);
    this->orderCaller.sendRequest(order, timeout, [this, sentAt = BootClock::now()](const CallResult& result) { this->finishLoadOrder(result, sentAt); });
}

// An order for which there was no connection can't be taken later.
static OrderEnd orderEndOf(const CallResult& result)
{
    if (result.status == statusOrderBegun)
        return OrderEnd::Begun;
    bool mayBeTaken = result.status == 0 && result.end != ChannelEnd::NotSent;
    return mayBeTaken ? OrderEnd::Unanswered : OrderEnd::NotBegun;
}

void AgentNode::finishLoadOrder(const CallResult& result, BootTimePoint sentAt)
{
    auto now = BootClock::now();
    auto end = orderEndOf(result);
    noteOrderEnd(this->loadOrder, end, now);
    this->areLayersFound = this->areLayersFound && end != OrderEnd::Unanswered;
    auto pieces = static_cast<uint64_t>(this->manifest.digests.size());
    auto readAge = inMilliseconds(sentAt - this->loadOrder.orderReadsSentAt);
    this->log.write(LogLevel::Info, "weights_ordered", { { "version", this->orderedVersion }, { "answer", result.describe() }, { "pieces", pieces }, { "oldest_read_ms", readAge }, { "answer_ms", inMilliseconds(now - sentAt) }, { "since_named_ms", inMilliseconds(now - this->newestNamedAt()) } });
    if (this->loadOrder.trust == LoadTrust::Proven) {
        this->areLayersFound = this->areLayersFound && end != OrderEnd::Begun;
        return;
    }
    this->withholdLayers();
    if (end != OrderEnd::NotBegun)
        this->log.write(LogLevel::Warning, "load_doubted", { { "version", this->orderedVersion }, { "reason", end == OrderEnd::Unanswered ? "no_answer" : "late_answer" } });
}

// Gives up the reads and the order in flight of an engine that has started again, or that was away.
void AgentNode::abandonLoadOrder()
{
    voidReads(this->loadOrder);
    this->orderCaller.close();
    if (this->loadOrder.isOrderInFlight)
        noteOrderEnd(this->loadOrder, OrderEnd::Unanswered, BootClock::now());
}

} // namespace bilberry
