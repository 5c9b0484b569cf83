/// Names of the HTTP headers between callers, entries and endpoints' processes.
#pragma once

namespace bilberry::wire {

// Between the system's processes.
constexpr char attempt[] = "X-Bilberry-Attempt"; ///< Identity of one attempt; an answer carries it back.
constexpr char deadlineMs[] = "X-Bilberry-Deadline-Ms"; ///< Time left, in ms.
constexpr char queueWaitMs[] = "X-Bilberry-Queue-Wait-Ms"; ///< Longest wait in the endpoint's queue, in ms.
constexpr char generation[] = "X-Bilberry-Generation"; ///< Of the sender's configuration.
constexpr char service[] = "X-Bilberry-Service";
constexpr char model[] = "X-Bilberry-Model";
constexpr char vm[] = "X-Bilberry-Vm"; ///< Name of the VM whose process sends the message.
constexpr char holdings[] = "X-Bilberry-Holdings"; ///< What the sender holds of a version, as the text of Holdings.
constexpr char caller[] = "X-Bilberry-Caller";
constexpr char unrepeatable[] = "X-Bilberry-Unrepeatable"; ///< "1" when the request may run at most once.
constexpr char load[] = "X-Bilberry-Load"; ///< "in progress/limit" of the endpoint.
constexpr char reason[] = "X-Bilberry-Reason"; ///< Name of the refusal reason.

// Towards callers, too.
constexpr char outcome[] = "X-Bilberry-Outcome";
constexpr char account[] = "X-Client-Account";
constexpr char timeoutMs[] = "X-Request-Timeout-Ms";
constexpr char lastEventId[] = "Last-Event-ID";
constexpr char retryAfter[] = "Retry-After";

/// Path prefix of forwarded requests at an endpoint's process.
constexpr char forwardPrefix[] = "/forward";

} // namespace bilberry::wire
