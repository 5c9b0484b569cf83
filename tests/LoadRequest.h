/// Requests of the load generator: client accounts, prompts, idempotency keys and bodies.
#pragma once

#include "Types.h"
#include <httplib.h>
#include <string>
#include <vector>

namespace bilberry::standin {

struct Account {
    std::string name;
    double weight = 1;
};

/// Parameters that all requests of one run share.
struct RequestPlan {
    std::vector<Account> accounts; ///< The client accounts to choose from; there is at least one.
    std::string path;
    std::string model; ///< The model that completions are requested from.
    std::string idempotencyKeyPrefix; ///< Empty if the requests have no idempotency key and may be repeated.
    int maxTokens = 0;
    bool isModel = true; ///< Whether the path belongs to a model service; otherwise it belongs to a plain service.
    bool isStream = false;
    uint64_t seed = 0;
    Milliseconds timeout { 0 }; ///< How long a caller waits for one attempt.
};

/// One request of a caller. All attempts to send it use the same values.
struct Call {
    uint64_t number = 0;
    std::string account;
    std::string prompt;
    std::string idempotencyKey; ///< Empty if the request may be repeated.
    TimePoint dueTime {}; ///< When the request is to be sent; latencies are measured from this time on.
};

/// Parses `name:weight,name:weight`; the default weight is 1. Thread safe.
std::vector<Account> parseAccounts(const std::string& text);

/// Makes the request with the given number. The same seed and number give the same prompt, client account and idempotency
/// key. Thread safe.
Call makeCall(const RequestPlan&, uint64_t number, TimePoint due);

/// Makes the HTTP request for one attempt. Thread safe.
httplib::Request makeRequest(const RequestPlan&, const Call&);

} // namespace bilberry::standin
