/// One attempt of an entry to have a request answered by an endpoint's process: what is sent, what came back.
#pragma once

#include "HttpMessage.h"
#include "Refusal.h"

#include <memory>
#include <string>

namespace bilberry {

class HttpExchange;
struct EntryRequest;

/// What one attempt brought: a response to pass on, or a refusal.
struct AttemptResponse {
    Refusal refusal;
    HttpResponse response;
    std::shared_ptr<HttpExchange> stream; ///< Set when the body of the response is still to be read, as a stream.
};

/// What an attempt adds to the caller's request.
struct AttemptParameters {
    std::string id; ///< Identity of the attempt; its answer carries it back.
    Milliseconds timeLeft { 0 };
    Milliseconds maxQueueWait { 0 }; ///< Longest wait in the endpoint's queue.
    std::string lastEventId; ///< Last event that the caller has, when a stream is resumed; else empty.
};

/// The request as it is sent to an endpoint's process. Thread safe.
HttpRequest makeForwardedRequest(const EntryRequest&, const AttemptParameters&);

/// The refusal that an endpoint's process answered, or None when it passes a back end's answer on. Thread safe.
Refusal readRefusal(const HttpHeaders&);

} // namespace bilberry
