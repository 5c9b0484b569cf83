/// Decides when an engine may be ordered to load the pieces on its stage. They are read back before, and a read-back proves that
/// the piece was sound when it was requested. It may become corrupt at any time after, also while the agent is paused, so an order is
/// sent and answered within a bounded time from the oldest read-back. The times include those in which the VM is suspended. Pure
/// functions over plain data.
#pragma once

#include "BootClock.h"
#include "Types.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace bilberry {

/// Age of the oldest read-back from which on an order isn't sent: the pieces are read back again.
constexpr Milliseconds maxReadAgeAtOrder { 2000 };
/// Age of the oldest read-back by which an order must be answered. Layers count as spoilt when one of their pieces had been so for
/// more than 3 s when the engine accepted the order.
constexpr Milliseconds maxReadAgeAtAnswer { 2800 };

/// What a read-back showed of one piece.
enum class PieceState : uint8_t {
    Sound,
    Spoilt, ///< Missing, or its digest doesn't match.
    Unknown, ///< The engine didn't answer.
};

/// What the read-backs of a batch show together.
enum class BatchState : uint8_t {
    Pending, ///< Some aren't answered, or the batch is void.
    Sound,
    Spoilt, ///< At least one piece is.
    Unknown, ///< None is known to be spoilt, and of some nothing is known.
};

/// The read-backs of all pieces that one load order relies on, and that order. Used by one thread at a time.
struct LoadOrderState {
    uint64_t batch = 0; ///< Number of the newest batch.
    bool isReading = false; ///< Whether a batch that isn't void awaits answers.
    size_t unansweredReads = 0;
    bool hasSpoiltPiece = false;
    bool hasUnknownPiece = false;
    BootTimePoint readsSentAt {}; ///< When the reads of the newest batch were sent.
    bool isOrderInFlight = false; ///< Whether an order awaits its answer.
    BootTimePoint orderReadsSentAt {}; ///< When the reads that the newest order relies on were sent.
};

/// Begins a batch of read-backs, which are to be sent now, and returns its number. An earlier batch is void. Precondition: `pieces` > 0.
uint64_t beginReads(LoadOrderState&, size_t pieces, BootTimePoint now);
/// Makes the batch in progress void, since pieces, their digests or the engine's run have changed.
void voidReads(LoadOrderState&);
/// Records the answer to one read-back of a batch. A void batch stays pending.
BatchState noteRead(LoadOrderState&, uint64_t batch, PieceState);
/// Returns the timeout of an order that is sent now and relies on the newest batch; unset if that is too old. Thread safe.
std::optional<Milliseconds> orderTimeout(const LoadOrderState&, BootTimePoint now);
/// Records that an order is sent that relies on the newest batch. Precondition: no order is in flight.
void noteOrderSent(LoadOrderState&);
/// Records that the order was answered or given up. Returns whether the engine can only have accepted it while the read-backs were
/// recent enough.
bool noteOrderEnd(LoadOrderState&, BootTimePoint now);

} // namespace bilberry
