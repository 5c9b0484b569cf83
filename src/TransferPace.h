/// How chunks are sent beside live requests. Pure decisions.
#pragma once

#include <cstddef>
#include <cstdint>

namespace bilberry {

/// What the pace depends on.
struct TransferDemand {
    uint32_t liveRequests = 0; ///< In progress at this VM's back end.
    double boundBytesPerSecond = 0; ///< That all sends together may use; 0: unbounded.
    double liveShare = 1; ///< Of the bound, while live requests are in progress.
};

/// How the next piece is sent.
struct TransferPace {
    double bytesPerSecond = 0; ///< Of all sends together; 0: unbounded.
    size_t pieceBytes = 0;
};

/// The whole bound in large pieces while no live request is in progress; else the share, in pieces small enough that the
/// first byte of an answer does not wait behind one for long. Thread safe.
TransferPace choosePace(const TransferDemand&);

} // namespace bilberry
