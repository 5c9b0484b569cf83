#include "LoadRequest.h"
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>
#include <random>

namespace bilberry::standin {

std::vector<Account> parseAccounts(const std::string& text)
{
    std::vector<Account> accounts;
    for (const std::string& part : std::vector<std::string>(absl::StrSplit(text, ',', absl::SkipEmpty()))) {
        const size_t colon = part.find(':');
        accounts.push_back({ part.substr(0, colon), colon == std::string::npos ? 1.0 : std::strtod(part.c_str() + colon + 1, nullptr) });
    }
    return accounts;
}

static const std::string& chooseAccount(const RequestPlan& plan, uint64_t number)
{
    std::vector<double> weights;
    for (const Account& account : plan.accounts)
        weights.push_back(account.weight);
    std::mt19937_64 generator(plan.seed * 1'000'003 + number);
    return plan.accounts[std::discrete_distribution<size_t>(weights.begin(), weights.end())(generator)].name;
}

Call makeCall(const RequestPlan& plan, uint64_t number, TimePoint due)
{
    const std::string identity = std::to_string(plan.seed) + "-" + std::to_string(number);
    Call call { number, chooseAccount(plan, number), "prompt " + identity, "", due };
    if (!plan.idempotencyKeyPrefix.empty())
        call.idempotencyKey = plan.idempotencyKeyPrefix + "-" + identity;
    return call;
}

static std::string requestBody(const RequestPlan& plan, const Call& call)
{
    if (!plan.isModel)
        return call.prompt;
    return nlohmann::json { { "model", plan.model }, { "max_tokens", plan.maxTokens }, { "stream", plan.isStream }, { "prompt", call.prompt } }.dump();
}

httplib::Request makeRequest(const RequestPlan& plan, const Call& call)
{
    httplib::Request request;
    request.method = "POST";
    request.path = plan.path;
    request.body = requestBody(plan, call);
    request.headers = { { "X-Client-Account", call.account }, { "X-Request-Timeout-Ms", std::to_string(plan.timeout.count()) },
        { "Content-Type", plan.isModel ? "application/json" : "application/octet-stream" } };
    if (!call.idempotencyKey.empty())
        request.set_header("Idempotency-Key", call.idempotencyKey);
    return request;
}

} // namespace bilberry::standin
