/// The part of an agent that orders its engine to load the staged pieces.

#include "AgentNode.h"

#include "Digest.h"

#include <algorithm>

namespace bilberry {

// Time after which a load order that has had no effect is repeated.
static constexpr Milliseconds loadOrderRetryInterval { 1500 };

static Milliseconds inMilliseconds(BootClock::duration time)
{
    return std::chrono::duration_cast<Milliseconds>(time);
}

// Returns whether the time at which this engine switches to the newer version has come. The engines of a data centre switch
// one after the other (see VersionSwitch.h).
bool AgentNode::isSwitchDue(BootTimePoint now) const
{
    auto hosts = engineHostsIn(this->serviceSummary->engines, this->settings.location.dataCentre);
    auto switchDelayStart = supersededAt(this->namedVersions, this->engineReport->loadedLayersVersion);
    // The engine must leave an older version at once when an even newer one is to follow.
    bool isFollowed = this->manifest.version < this->wantedVersion();
    return switchDelayStart == BootTimePoint::max() || isFollowed || now - switchDelayStart >= switchDelay(this->settings.ownIp, hosts, this->settings.reloadable.maxVersionSwitchTime);
}

void AgentNode::orderLoadWhenReady(TimePoint now)
{
    if (!this->engineReport || !this->serviceSummary)
        return;
    bool isComplete = this->manifest.version != 0 && std::find(this->isPieceStaged.begin(), this->isPieceStaged.end(), false) == this->isPieceStaged.end();
    bool isUnderWay = this->loadOrder.isReading || this->loadOrder.isOrderInFlight || this->engineReport->isBusy;
    if (!isComplete || isUnderWay || servesVersion(*this->engineReport, this->serviceSummary->model, this->manifest.version))
        return;
    bool isOrdered = this->orderedVersion == this->manifest.version && now - this->loadOrderedAt < loadOrderRetryInterval;
    if (isOrdered)
        return;
    bool servesNothing = this->engineReport->loadedLayers < this->serviceSummary->model.layerCount;
    if (!servesNothing && !this->isSwitchDue(BootClock::now()))
        return;
    // Entries stop sending requests to the engine before the pieces are read back.
    if (!servesNothing)
        this->notifyEntries(0);
    this->readBackPieces();
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
    bool canOrder = state == BatchState::Sound && this->engineReport;
    if (!canOrder)
        return;
    auto now = BootClock::now();
    if (auto timeout = orderTimeout(this->loadOrder, now))
        this->orderLoad(*timeout);
    else
        this->log.write(LogLevel::Warning, "load_postponed", { { "version", this->manifest.version }, { "oldest_read_ms", inMilliseconds(now - this->loadOrder.readsSentAt) } });
}

void AgentNode::orderLoad(Milliseconds timeout)
{
    this->loadOrderedAt = Clock::now();
    this->orderedVersion = this->manifest.version;
    noteOrderSent(this->loadOrder);
    auto order = this->adapter.engine.makeLoadOrder(this->serviceSummary->model.name, this->orderedVersion);
    this->orderCaller.sendRequest(order, timeout, [this, sentAt = BootClock::now()](const CallResult& result) { this->finishLoadOrder(result, sentAt); });
}

void AgentNode::finishLoadOrder(const CallResult& result, BootTimePoint sentAt)
{
    auto now = BootClock::now();
    bool isTimely = noteOrderEnd(this->loadOrder, now) && result.status != 0;
    auto pieces = static_cast<uint64_t>(this->manifest.digests.size());
    auto readAge = inMilliseconds(sentAt - this->loadOrder.orderReadsSentAt);
    this->log.write(LogLevel::Info, "weights_ordered", { { "version", this->orderedVersion }, { "answer", result.describe() }, { "pieces", pieces }, { "oldest_read_ms", readAge }, { "answer_ms", inMilliseconds(now - sentAt) }, { "since_named_ms", inMilliseconds(now - this->newestNamedAt()) } });
    if (!isTimely)
        this->log.write(LogLevel::Warning, "load_doubted", { { "version", this->orderedVersion }, { "reason", result.status == 0 ? "no_answer" : "late_answer" } });
}

// The engine has started again, or may have: the order in flight and the reads say nothing of it.
void AgentNode::abandonLoadOrder()
{
    voidReads(this->loadOrder);
    this->orderCaller.close();
    this->loadOrder.isOrderInFlight = false;
}

} // namespace bilberry
