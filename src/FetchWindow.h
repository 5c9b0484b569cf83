/// Decides how many pieces an agent has on their way to its VM at a time. Requests to the engine on the same VM arrive over the
/// same link, so the pieces ahead of a request must not delay it for long, also while the link is slower than usual. Pure
/// functions without I/O.
#pragma once

#include "Types.h"

#include <cstddef>
#include <deque>

namespace bilberry {

/// The arrival of one piece.
struct PieceArrival {
    TimePoint beganAt {}; ///< When the head of the response arrived.
    TimePoint endedAt {}; ///< When the last byte arrived.
    size_t bytes = 0;
    bool isFromOrigin = false; ///< Whether the origin sent it, whose link all agents share.
};

/// Used by one thread at a time.
struct FetchWindow {
    double nominalBytesPerSecond = 0; ///< Rate of the VM's link according to the settings; zero when it is unknown.
    std::deque<PieceArrival> arrivals; ///< The last arrivals that tell of the VM's own link, in the order in which they ended.
};

/// Records an arrival. One from the origin counts only if it was faster than the last ones, since it may be slow although this
/// VM's own link isn't. An empty one doesn't count. Precondition: it ended no earlier than the last one that was recorded.
void recordArrival(FetchWindow&, const PieceArrival&);

/// Returns the rate at which pieces lately arrived over the VM's own link, in bytes per second: those of the last arrivals
/// together, over the time in which at least one of them was arriving. Before the first arrival it is the nominal rate. Thread
/// safe.
double arrivalRate(const FetchWindow&);

/// Returns the rate at which pieces may be sent to peers, in bytes per second: that of the arrivals if it is below the nominal
/// rate and recent. Zero if the nominal rate is unknown. Thread safe.
double sendRate(const FetchWindow&, TimePoint now);

/// Returns how many pieces of that size may be on their way at a time, at least 1 and at most `most`; `most` when
/// the rate or the size is unknown. Precondition: `most` isn't zero. Thread safe.
size_t allowedFetches(const FetchWindow&, size_t pieceBytes, size_t most);

} // namespace bilberry
