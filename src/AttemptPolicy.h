/// Decides whether a request is retried after an attempt at an endpoint, and what the caller is answered otherwise. The
/// rules guard against duplicate runs when endpoints fail or connections are lost. A request that may not be repeated is
/// sent again only if its endpoint said that it has not run it or no connection was made. The caller is answered "not run"
/// only if no endpoint can have run the request. All functions but countAttempt() are pure.
#pragma once

#include "EntryConfiguration.h"
#include "Types.h"

#include <string_view>

namespace bilberry {

/// How an attempt at an endpoint ended.
enum class AttemptResult : uint8_t {
    Answered, ///< A complete response of the endpoint itself arrived that is neither a server error nor NotExecuted.
    ServerError, ///< A complete response of the endpoint itself arrived and says that the endpoint failed.
    NotExecuted, ///< The endpoint said that it has not run the request.
    NotSent, ///< No connection was made.
    Lost, ///< No complete response arrived; the request may have run.
    /// An answer ended with its connection, and whether the endpoint lived on is unknown: it may lack a part; the request may have run.
    EndUnverified,
    Malformed, ///< What arrived is no valid response to this request, which may have run.
    Silent, ///< No byte arrived for too long on a connection that is still open; the request may run.
    TimedOut, ///< The deadline passed or the caller disconnected; the request may have run.
};

/// Name of the result in logs, metrics and refusals. Thread safe.
std::string_view toText(AttemptResult);

/// Whether the endpoint may have run the request. Thread safe.
bool mayHaveRun(AttemptResult);

/// What is known of an endpoint from which an attempt has received no byte for some time.
struct SilenceContext {
    Milliseconds targetLatency { 0 }; ///< The route's.
    /// Whether the endpoint has at least as many requests as it runs concurrently, so that this one may wait in its queue.
    bool isEndpointFull = false;
    bool isEndpointAlive = false; ///< Whether the endpoint has answered other requests since the last byte of this attempt.
};

/// Returns the time without a byte after which an attempt of a repeatable request is abandoned. Under load, a request that
/// waits in the queue of an endpoint that works isn't lost, and a retry would only add to the load. Thread safe.
Milliseconds silenceTimeout(const SilenceContext&);

/// Totals over the attempts of one request.
struct AttemptTotals {
    int runs = 0; ///< Number of attempts that may have run the request.
    int notRun = 0; ///< Number of attempts that have not run the request.
};

/// Adds an attempt with that result to the totals. Not thread safe for the same totals.
void countAttempt(AttemptTotals&, AttemptResult);

/// State of a request after an attempt, on which the decisions depend.
struct RetryContext {
    AttemptResult result = AttemptResult::Lost;
    bool isRepeatable = false; ///< Whether the request may run more than once.
    bool hasResponseStarted = false; ///< Whether a part of the response has been sent to the caller.
    AttemptTotals totals; ///< The totals include this attempt.
    /// Largest number of endpoints that may run the request. Attempts that didn't run it have a separate limit.
    int maxAttempts = 1;
    Milliseconds timeLeft { 0 }; ///< Time until the request's deadline.
};

enum class NextStep : uint8_t {
    Deliver, ///< Forward the endpoint's response to the caller.
    TryAnother, ///< Send the request to another endpoint if the retry budget allows it; else decideFinalAnswer() applies.
    GiveUp,
};

/// Decides what follows after an attempt. Thread safe.
NextStep decideNextStep(const RetryContext&);

/// The answer to the caller when no further attempt is made.
enum class FinalAnswer : uint8_t {
    Deliver, ///< Forward the endpoint's response, even if it is a failure.
    NotRun, ///< Refuse the request, which has not run and never will.
    Failed, ///< Report a failure; the request may have run.
    TimedOut, ///< Report a timeout; the request may have run.
    CutOff, ///< Abort the connection, so that the caller sees that the response, which has already started, is incomplete.
};

/// Decides on the answer when the request is not tried again. Thread safe.
FinalAnswer decideFinalAnswer(const RetryContext&);

/// Whether a response status (408, 421, 429 or 503) promises the caller that its request has not run and never will. An
/// entry doesn't forward such a status of an endpoint when the request may have run. Thread safe.
bool promisesNotExecuted(int status);

} // namespace bilberry
