/// Fetches one chunk over HTTP, within a progress deadline and paced.
#pragma once

#include "HttpMessage.h"

#include <absl/status/statusor.h>
#include <atomic>
#include <string>

namespace bilberry {

struct Node;
class TransferPacer;

/// Bounds of one transfer.
struct TransferLimits {
    uint64_t expectedBytes = 0; ///< That the manifest states.
    double minBytesPerSecond = 0; ///< A slower transfer is given up. More than 0.
    double bytesPerSecond = 0; ///< Pace; 0 is unbounded.
    TransferPacer* pacer = nullptr; ///< Shared by the transfers of one link; null when not paced.
    std::function<void(const HttpHeaders&)> onResponseHead {}; ///< Called with the headers of the answer; may be empty.
};

/// Reads a whole body of the stated size, not yet verified, and adds each piece to `receivedBytes` as it comes.
/// Errors: NotFound, ResourceExhausted over the sender's rate, DeadlineExceeded when the transfer stalls or is far too
/// slow, Unavailable otherwise. Thread safe.
absl::StatusOr<std::string> fetchBody(Node&, const std::string& address, const HttpRequest&, const TransferLimits&, std::atomic<uint64_t>& receivedBytes);

} // namespace bilberry
