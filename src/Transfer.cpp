#include "Transfer.h"

#include "Node.h"
#include "TransferPacer.h"

#include <absl/strings/str_cat.h>
#include <thread>

namespace bilberry {

// A source that sends no byte for this long has failed.
static constexpr Milliseconds silenceTimeout { 2000 };

static Duration transferTime(uint64_t bytes, double bytesPerSecond)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerSecond));
}

static absl::Status toStatus(const HttpReply& head)
{
    if (head.status == 200)
        return absl::OkStatus();
    if (head.status == 0)
        return absl::UnavailableError("source was not reached");
    if (head.status == 404)
        return absl::NotFoundError("source does not have the chunk");
    if (head.status == 429)
        return absl::ResourceExhaustedError("source refused the request over its rate limit");
    return absl::UnavailableError(absl::StrCat("source answered status ", head.status));
}

absl::StatusOr<std::string> fetchBody(Node& node, const std::string& address, const HttpRequest& request, const TransferLimits& limits, std::atomic<uint64_t>& receivedBytes)
{
    HttpExchange exchange(node.clients, address, request, { node.settings.connectTimeout, silenceTimeout });
    const HttpReply& head = exchange.waitForHead();
    auto status = toStatus(head);
    if (!status.ok())
        return status;
    if (limits.onResponseHead)
        limits.onResponseHead(head.headers);
    auto abortAt = Clock::now() + silenceTimeout + transferTime(limits.expectedBytes, limits.minBytesPerSecond);
    std::string body;
    std::string piece;
    for (;;) {
        auto step = exchange.readBodyChunk(piece);
        if (step == BodyReadResult::End)
            return body;
        if (step == BodyReadResult::Truncated)
            return absl::DeadlineExceededError("transfer stalled or was cut off");
        body += piece;
        receivedBytes += piece.size();
        if (body.size() > limits.expectedBytes)
            return absl::UnavailableError("body is longer than the manifest states");
        if (Clock::now() > abortAt)
            return absl::DeadlineExceededError("transfer is too slow");
        if (!limits.pacer)
            continue;
        auto due = limits.pacer->reserveBytes(piece.size(), limits.bytesPerSecond, Clock::now());
        abortAt += std::max(Duration::zero(), due - Clock::now());
        std::this_thread::sleep_until(due);
    }
}

} // namespace bilberry
