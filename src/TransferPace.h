/// Decides how fast chunks are sent while the VM also serves live requests, and when a transfer is so slow that it is
/// aborted. The functions do no I/O.
#pragma once

#include "Types.h"

#include <cstddef>
#include <cstdint>

namespace bilberry {

/// The state that the pace depends on.
struct TransferLoad {
    uint32_t liveRequests = 0; ///< Requests in progress at this VM's back end.
    double maxBytesPerSecond = 0; ///< Bandwidth that all sends together may use; 0: unbounded.
    double liveShare = 1; ///< Share of that bandwidth that is used while live requests are in progress.
};

/// The rate and the size at which the next piece is sent.
struct TransferPace {
    double bytesPerSecond = 0; ///< Rate of all sends together; 0: unbounded.
    size_t pieceBytes = 0;
};

/// Uses the whole bandwidth in large pieces while no live request is in progress; otherwise uses the share, in pieces so
/// small that the first byte of a response does not wait behind one for long. Thread safe.
TransferPace chooseTransferPace(const TransferLoad&);

/// The recent rate of transfers from one kind of source.
struct ObservedRate {
    double bytesPerSecond = 0; ///< Exponentially smoothed rate of a single transfer; 0: none has ended yet.
};

/// Updates the rate with a completed transfer. Precondition: `took` is positive. Not thread safe; the caller locks.
void recordTransfer(ObservedRate&, uint64_t bytes, Duration took);

/// Updates the rate after an aborted transfer. The next ones are allowed more time, so that a source whose bandwidth many
/// receivers share is not aborted every time. Not thread safe; the caller locks.
void recordAbortedTransfer(ObservedRate&);

/// The rate in bytes per second below which a transfer is aborted: a small part of the observed rate, so that it stays below
/// what a source gives to each of many receivers that share a slow link. Thread safe.
double minAcceptedRate(const ObservedRate&);

} // namespace bilberry
