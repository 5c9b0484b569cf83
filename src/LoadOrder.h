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

struct EngineReport;

/// Age of the oldest read-back from which on an order isn't sent: the pieces are read back again.
constexpr Milliseconds maxReadAgeAtOrder { 2000 };
/// Age of the oldest read-back by which an order must be answered. Layers count as spoilt when one of their pieces had been so for
/// more than 3 s when the engine accepted the order.
constexpr Milliseconds maxReadAgeAtAnswer { 2800 };

/// Time since the engine's start, or since its version was named, in which an order of an earlier agent process counts as recent: both
/// are followed by a load soon.
constexpr Milliseconds recentLoadTime { 30000 };

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

/// How an order ended.
enum class OrderEnd : uint8_t {
    Begun, ///< The engine has accepted it.
    NotBegun, ///< The engine has refused it, or it loads nothing.
    Unanswered, ///< The engine may have accepted it, or may still do so.
};

/// What is known of the layers that the engine has or is about to have.
enum class LoadTrust : uint8_t {
    Proven, ///< No load is known whose pieces may have been spoilt.
    Unplaced, ///< An order got no answer in time, and the engine may still accept it.
    Doubted, ///< The engine has accepted an order at an unknown time; the pieces must be read back.
    Spoilt, ///< The layers may be spoilt; only another load ends this.
};

/// The read-backs of all pieces that one load order relies on, and that order. Used by one thread at a time.
struct LoadOrderState {
    uint64_t batch = 0; ///< Number of the newest batch.
    bool isReading = false; ///< Whether a batch that isn't void awaits answers.
    size_t unansweredReads = 0;
    bool hasSpoiltPiece = false;
    bool hasUnknownPiece = false;
    BootTimePoint readsSentAt {}; ///< When the reads of the newest batch were sent.
    BootTimePoint readsDueAt {}; ///< No batch is to begin before then.
    bool isOrderInFlight = false; ///< Whether an order awaits its answer.
    BootTimePoint orderReadsSentAt {}; ///< When the reads that the newest order relies on were sent.

    // What the engine has accepted.
    LoadTrust trust = LoadTrust::Proven;
    bool isRunKnown = false; ///< Whether the engine has reported yet.
    std::optional<int64_t> engineStartedAtUnixMs;
    uint64_t reportedOrders = 0; ///< Orders that the engine has accepted, by its last report.
    uint64_t knownOrders = 0; ///< Those of them whose layers were judged.
    bool hasEarlierOrders = false; ///< Whether orders of an earlier agent process loaded the layers, and that may still be doubted.
    bool hasWrittenPiece = false; ///< Whether a piece was written since the first order whose acceptance is unknown.
};

/// Begins a batch of read-backs, which are to be sent now, and returns its number. An earlier batch is void. Precondition: `pieces` > 0.
uint64_t beginReads(LoadOrderState&, size_t pieces, BootTimePoint now);
/// Whether another batch may begin: none is in progress, and the pause after one that led to nothing is over. Thread safe.
bool areReadsDue(const LoadOrderState&, BootTimePoint now);
/// Delays the next batch for a moment, after one that the engine answered too slowly or not at all.
void delayReads(LoadOrderState&, BootTimePoint now);
/// Makes the batch in progress void, since pieces, their digests or the engine's run have changed.
void voidReads(LoadOrderState&);
/// Records the answer to one read-back of a batch. A void batch stays pending.
BatchState noteRead(LoadOrderState&, uint64_t batch, PieceState);
/// Returns the timeout of an order that is sent now and relies on the newest batch; unset if that is too old. Thread safe.
std::optional<Milliseconds> orderTimeout(const LoadOrderState&, BootTimePoint now);
/// Records that an order is sent that relies on the newest batch. Precondition: no order is in flight.
void noteOrderSent(LoadOrderState&);
/// Records how the order ended. One that has begun is proven if the engine can only have accepted it while the read-backs were recent
/// enough.
void noteOrderEnd(LoadOrderState&, OrderEnd, BootTimePoint now);
/// Returns whether a report is of another run of the engine than the last one, or the first. Thread safe.
bool isOtherRun(const LoadOrderState&, const EngineReport&);
/// Records the engine's report; `unixNow` is the time since the Unix epoch. An engine that was started anew is trusted. If it has
/// accepted orders of an earlier agent process, they are doubted while it carries one out, and for some time after its start. Later
/// orders that are unknown are doubted, unless one is in flight, whose answer may tell.
void noteReport(LoadOrderState&, const EngineReport&, Milliseconds unixNow);
/// Records for how long the version that the engine has loaded has been named: recent orders of an earlier agent process are doubted.
/// Has an effect once for each run of the engine.
void noteVersionNamedFor(LoadOrderState&, BootClock::duration);
/// Records that a piece is written to the stage: a batch in progress is void, and later reads don't tell what the engine took.
void notePieceWritten(LoadOrderState&);
/// Judges doubted layers by a batch whose reads were sent since they were doubted. Precondition: the layers are doubted.
void judgeDoubtedLayers(LoadOrderState&, BatchState);

} // namespace bilberry
