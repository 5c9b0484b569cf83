/// Requests of the load generator: accounts, prompts, keys and bodies.
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

/// What all requests of one run have in common.
struct RequestPlan {
    std::vector<Account> accounts; ///< At least one.
    std::string path;
    std::string model; ///< Of completions.
    std::string idempotencyKeyPrefix; ///< Empty when the requests may be repeated.
    int maxTokens = 0;
    bool isModel = true; ///< Otherwise the path is a plain service's.
    bool isStream = false;
    uint64_t seed = 0;
    Milliseconds timeout { 0 }; ///< Of one attempt.
};

/// One request of a caller, the same for all its attempts.
struct Call {
    uint64_t number = 0;
    std::string account;
    std::string prompt;
    std::string idempotencyKey; ///< Empty when the request may be repeated.
    TimePoint dueTime {};
};

/// Reads `name:weight,name:weight`; a weight left out is 1. Thread safe.
std::vector<Account> parseAccounts(const std::string& text);

/// The request of that number; the same seed and number give the same prompt, account and key. Thread safe.
Call makeCall(const RequestPlan&, uint64_t number, TimePoint due);

/// The HTTP request of one attempt. Thread safe.
httplib::Request makeRequest(const RequestPlan&, const Call&);

} // namespace bilberry::standin
