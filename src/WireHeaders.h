/// Names of the HTTP headers that callers, entries and the processes at endpoints exchange.
#pragma once

namespace bilberry::wire {

// Headers between the system's processes.
constexpr char attempt[] = "X-Bilberry-Attempt"; ///< Id of one attempt; the response repeats it.
constexpr char deadlineMs[] = "X-Bilberry-Deadline-Ms"; ///< Time left until the request's deadline, in ms.
constexpr char queueWaitMs[] = "X-Bilberry-Queue-Wait-Ms"; ///< Longest wait in the endpoint's queue, in ms.
constexpr char generation[] = "X-Bilberry-Generation"; ///< Generation of the sender's configuration.
constexpr char service[] = "X-Bilberry-Service";
constexpr char model[] = "X-Bilberry-Model";
constexpr char vm[] = "X-Bilberry-Vm"; ///< Name of the VM whose process sends the message.
constexpr char holdings[] = "X-Bilberry-Holdings"; ///< Chunks of a version that the sender holds, as the text of Holdings.
constexpr char caller[] = "X-Bilberry-Caller";
constexpr char unrepeatable[] = "X-Bilberry-Unrepeatable"; ///< "1" if the request may be executed at most once.
constexpr char load[] = "X-Bilberry-Load"; ///< Load of the endpoint as "in progress/limit".
constexpr char reason[] = "X-Bilberry-Reason"; ///< Name of the refusal reason.

// Headers that are exchanged with callers, too.
constexpr char outcome[] = "X-Bilberry-Outcome";
constexpr char account[] = "X-Client-Account";
constexpr char timeoutMs[] = "X-Request-Timeout-Ms";
constexpr char lastEventId[] = "Last-Event-ID";
constexpr char retryAfter[] = "Retry-After";

/// Prefix of the path of a request that is forwarded to an endpoint's process.
constexpr char forwardPrefix[] = "/forward";

} // namespace bilberry::wire
