/// One attempt of an entry to have a request answered by an endpoint's process: the forwarded request and its result.
#pragma once

#include "HttpMessage.h"
#include "Refusal.h"

#include <memory>
#include <string>

namespace bilberry {

class HttpExchange;
struct EntryRequest;

/// Result of one attempt: a response to forward to the caller, or a refusal.
struct AttemptResponse {
    Refusal refusal;
    HttpResponse response;
    std::shared_ptr<HttpExchange> stream; ///< Set when the body of the response is a stream that is still to be read.
};

/// Parameters that an attempt adds to the caller's request.
struct AttemptParameters {
    std::string id; ///< Id of the attempt, which its response returns.
    Milliseconds timeLeft { 0 };
    Milliseconds maxQueueWait { 0 }; ///< Maximum time in the endpoint's queue.
    std::string lastEventId; ///< Id of the last event that the caller has, when a stream is resumed; else empty.
};

/// Makes the request that is sent to an endpoint's process. Thread safe.
HttpRequest makeForwardedRequest(const EntryRequest&, const AttemptParameters&);

/// Reads the refusal of an endpoint's process from its response; the reason is None when the response is the back end's own
/// answer, and ReplyLost when the headers name no known reason. Thread safe.
Refusal readRefusal(const HttpHeaders&);

} // namespace bilberry
