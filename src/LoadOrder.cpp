#include "LoadOrder.h"

namespace bilberry {

uint64_t beginReads(LoadOrderState& state, size_t pieces, BootTimePoint now)
{
    state.isReading = true;
    state.unansweredReads = pieces;
    state.hasSpoiltPiece = false;
    state.hasUnknownPiece = false;
    state.readsSentAt = now;
    return ++state.batch;
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

bool noteOrderEnd(LoadOrderState& state, BootTimePoint now)
{
    state.isOrderInFlight = false;
    return now - state.orderReadsSentAt <= maxReadAgeAtAnswer;
}

} // namespace bilberry
