/// How chunks are sent beside live requests, and when a transfer is too slow to wait for. Pure decisions.
#pragma once

#include "Types.h"

#include <cstddef>
#include <cstdint>

namespace bilberry {

/// What the pace depends on.
struct TransferLoad {
    uint32_t liveRequests = 0; ///< In progress at this VM's back end.
    double maxBytesPerSecond = 0; ///< That all sends together may use; 0: unbounded.
    double liveShare = 1; ///< Of the bound, while live requests are in progress.
};

/// How the next piece is sent.
struct TransferPace {
    double bytesPerSecond = 0; ///< Of all sends together; 0: unbounded.
    size_t pieceBytes = 0;
};

/// The whole bound in large pieces while no live request is in progress; else the share, in pieces small enough that the
/// first byte of an answer does not wait behind one for long. Thread safe.
TransferPace chooseTransferPace(const TransferLoad&);

/// How fast transfers from one kind of source were of late.
struct ObservedRate {
    double bytesPerSecond = 0; ///< Of one transfer, smoothed; 0: none has ended yet.
};

/// Takes a whole transfer into account. Precondition: it took some time. The caller locks.
void recordTransfer(ObservedRate&, uint64_t bytes, Duration took);

/// Takes a transfer into account that was given up. The next ones are given more time, so that a source whose rate many
/// receivers share is not given up for ever. The caller locks.
void recordAbortedTransfer(ObservedRate&);

/// Rate in bytes per second below which a transfer is given up: a small part of what was seen, and never more than a
/// source gives to each of many receivers that share a slow link. Thread safe.
double minAcceptedRate(const ObservedRate&);

} // namespace bilberry
