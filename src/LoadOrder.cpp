#include "LoadOrder.h"

#include "ProtocolAdapter.h"

namespace bilberry {

// Time from a batch that led to nothing to the next one.
static constexpr Milliseconds readRetryInterval { 500 };

uint64_t beginReads(LoadOrderState& state, size_t pieces, BootTimePoint now)
{
    state.isReading = true;
    state.unansweredReads = pieces;
    state.hasSpoiltPiece = false;
    state.hasUnknownPiece = false;
    state.readsSentAt = now;
    return ++state.batch;
}

bool areReadsDue(const LoadOrderState& state, BootTimePoint now)
{
    return !state.isReading && now >= state.readsDueAt;
}

void delayReads(LoadOrderState& state, BootTimePoint now)
{
    state.readsDueAt = now + readRetryInterval;
}

void voidReads(LoadOrderState& state)
{
    state.isReading = false;
}

BatchState noteRead(LoadOrderState& state, uint64_t batch, PieceState piece)
{
    bool isVoid = !state.isReading || batch != state.batch;
    if (isVoid)
        return BatchState::Pending;
    state.hasSpoiltPiece = state.hasSpoiltPiece || piece == PieceState::Spoilt;
    state.hasUnknownPiece = state.hasUnknownPiece || piece == PieceState::Unknown;
    if (--state.unansweredReads > 0)
        return BatchState::Pending;
    state.isReading = false;
    if (state.hasSpoiltPiece)
        return BatchState::Spoilt;
    return state.hasUnknownPiece ? BatchState::Unknown : BatchState::Sound;
}

std::optional<Milliseconds> orderTimeout(const LoadOrderState& state, BootTimePoint now)
{
    auto age = now - state.readsSentAt;
    if (age >= maxReadAgeAtOrder)
        return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(maxReadAgeAtAnswer - age);
}

void noteOrderSent(LoadOrderState& state)
{
    state.isOrderInFlight = true;
    state.orderReadsSentAt = state.readsSentAt;
}

void noteOrderEnd(LoadOrderState& state, OrderEnd end, BootTimePoint now)
{
    state.isOrderInFlight = false;
    if (end == OrderEnd::NotBegun)
        return;
    bool isTimely = end == OrderEnd::Begun && now - state.orderReadsSentAt <= maxReadAgeAtAnswer;
    if (isTimely) {
        state.trust = LoadTrust::Proven;
        state.hasEarlierOrders = false;
        state.hasWrittenPiece = false;
        ++state.knownOrders;
    } else if (state.trust == LoadTrust::Proven) {
        state.trust = LoadTrust::Unplaced;
    }
}

// Starts to judge the orders of another run of the engine.
static void beginRun(LoadOrderState& state, const EngineReport& report, Milliseconds unixNow)
{
    bool hasJustStarted = report.startedAtUnixMs && unixNow - Milliseconds(*report.startedAtUnixMs) < recentLoadTime;
    bool isRecent = report.acceptedOrders > 0 && (report.isBusy || hasJustStarted);
    state.isRunKnown = true;
    state.engineStartedAtUnixMs = report.startedAtUnixMs;
    state.knownOrders = report.acceptedOrders;
    state.hasEarlierOrders = report.acceptedOrders > 0;
    state.hasWrittenPiece = false;
    state.trust = isRecent ? LoadTrust::Doubted : LoadTrust::Proven;
}

bool isOtherRun(const LoadOrderState& state, const EngineReport& report)
{
    return !state.isRunKnown || report.startedAtUnixMs != state.engineStartedAtUnixMs || report.acceptedOrders < state.reportedOrders;
}

void noteReport(LoadOrderState& state, const EngineReport& report, Milliseconds unixNow)
{
    bool isOther = isOtherRun(state, report);
    state.reportedOrders = report.acceptedOrders;
    if (isOther) {
        beginRun(state, report, unixNow);
        return;
    }
    bool isUnknownOrder = !state.isOrderInFlight && report.acceptedOrders > state.knownOrders;
    if (isUnknownOrder && state.trust != LoadTrust::Spoilt)
        state.trust = LoadTrust::Doubted;
}

void noteVersionNamedFor(LoadOrderState& state, BootClock::duration age)
{
    bool isDoubtful = state.hasEarlierOrders && state.trust == LoadTrust::Proven && age < recentLoadTime;
    state.hasEarlierOrders = false;
    if (isDoubtful)
        state.trust = LoadTrust::Doubted;
}

void notePieceWritten(LoadOrderState& state)
{
    voidReads(state);
    if (state.isOrderInFlight || state.trust != LoadTrust::Proven)
        state.hasWrittenPiece = true;
}

void judgeDoubtedLayers(LoadOrderState& state, BatchState batch)
{
    bool isSound = batch == BatchState::Sound && !state.hasWrittenPiece;
    bool isSpoilt = batch == BatchState::Spoilt || state.hasWrittenPiece;
    if (!isSound && !isSpoilt)
        return;
    state.trust = isSound ? LoadTrust::Proven : LoadTrust::Spoilt;
    state.hasEarlierOrders = false;
    state.knownOrders = state.reportedOrders;
}

} // namespace bilberry
