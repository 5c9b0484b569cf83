/// One attempt of an entry to have a request answered by an endpoint's process: what is sent, what came back.
#pragma once

#include "HttpMessage.h"
#include "Refusal.h"

#include <string>

namespace bilberry {

struct EntryRequest;

/// What one attempt brought: a response to pass on, or a refusal.
struct AttemptOutcome {
    Refusal refusal;
    HttpResponse response;
};

/// The request as it is sent to an endpoint's process. Thread safe.
HttpRequest makeForwardedRequest(const EntryRequest&, const std::string& attemptId, Milliseconds timeLeft);

/// The refusal that an endpoint's process answered, or None when it passes a back end's answer on. Thread safe.
Refusal readRefusal(const HttpHeaders&);

} // namespace bilberry
