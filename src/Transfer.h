/// Fetches one chunk over HTTP, with a pace and with deadlines that detect stalled and slow sources.
#pragma once

#include "HttpMessage.h"

#include <absl/status/statusor.h>
#include <atomic>
#include <string>

namespace bilberry {

struct Node;
class TransferPacer;

/// The limits of one transfer.
struct TransferLimits {
    uint64_t expectedBytes = 0; ///< Size according to the manifest.
    double minBytesPerSecond = 0; ///< A slower transfer is aborted. Greater than 0.
    double bytesPerSecond = 0; ///< Pace of the reader; 0: unbounded.
    TransferPacer* pacer = nullptr; ///< Shared by the transfers of one link; null when not paced.
    std::function<void(const HttpHeaders&)> onResponseHead {}; ///< Called with the headers of a 200 response; may be empty.
};

/// Reads a whole body, which is at most of the expected size and not yet verified, and adds the size of each piece to
/// `receivedBytes` as it arrives. Errors: NotFound; ResourceExhausted when the sender's rate limit is exceeded;
/// DeadlineExceeded when the transfer stalls, is cut off or is too slow; Unavailable otherwise. Thread safe.
absl::StatusOr<std::string> fetchBody(Node&, const std::string& address, const HttpRequest&, const TransferLimits&, std::atomic<uint64_t>& receivedBytes);

} // namespace bilberry
