#include "EntryRequest.h"

#include "Digest.h"
#include "HttpMessage.h"
#include "Rendezvous.h"
#include "WireHeaders.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// Length of the prompt prefix, in bytes, that engines are expected to find in their prefix cache.
static constexpr size_t hashedPrefixBytes = 256;

static RowIndex findCaller(const Inventory& inventory, const HttpHeaders& headers)
{
    std::string authorization = findHeader(headers, "Authorization");
    if (authorization.rfind("Bearer ", 0) == 0) {
        std::string digest = sha256Hex(authorization.substr(7));
        for (RowIndex index = 0; index < inventory.callers.size(); ++index) {
            if (inventory.callers[index].keySha256 == digest)
                return index;
        }
        return noRow;
    }
    RowIndex namedCaller = findRow(inventory.callers, findHeader(headers, wire::account));
    bool needsKey = namedCaller != noRow && !inventory.callers[namedCaller].keySha256.empty();
    return needsKey ? noRow : namedCaller;
}

static Milliseconds chooseTimeout(const HttpHeaders& headers, const ServiceLevelRule& rule)
{
    int64_t requestedMs = 0;
    bool isNumber = absl::SimpleAtoi(findHeader(headers, wire::timeoutMs), &requestedMs);
    return isNumber && requestedMs > 0 ? std::min(Milliseconds(requestedMs), rule.maxTimeout) : rule.defaultTimeout;
}

// Hashes the start of the prompt, so that requests with the same preamble prefer the same endpoint; never zero.
static uint64_t hashPromptPrefix(const json& document)
{
    auto prompt = document.find(document.contains("messages") ? "messages" : "prompt");
    std::string text = prompt == document.end() ? std::string() : prompt->dump(-1, ' ', false, json::error_handler_t::replace);
    return std::max<uint64_t>(1, hashText(std::string_view(text).substr(0, hashedPrefixBytes)));
}

// Parses the body of a model request; returns false when it is not a JSON object that names a model.
static bool parseModelBody(const std::string& body, std::string& model, EntryRequest& request)
{
    auto document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("model") || !document["model"].is_string())
        return false;
    model = document["model"].get<std::string>();
    auto stream = document.find("stream");
    request.prefixHash = hashPromptPrefix(document);
    request.isStream = stream != document.end() && stream->is_boolean() && stream->get<bool>();
    return true;
}

RefusalReason parseEntryRequest(const HttpRequest& httpRequest, EntryRequest& request)
{
    const Configuration& configuration = *request.configuration;
    request.httpRequest = &httpRequest;
    const Inventory& inventory = configuration.inventory;
    request.caller = findCaller(inventory, httpRequest.headers);
    if (request.caller == noRow)
        return RefusalReason::UnknownCaller;
    std::string path = httpRequest.path.substr(0, httpRequest.path.find('?'));
    std::string model;
    if (path.rfind("/v1/", 0) == 0) {
        if (!parseModelBody(httpRequest.body, model, request))
            return RefusalReason::BadRequest;
        request.model = findRow(inventory.models, model);
    }
    request.service = findService(inventory, path, model);
    if (request.service == noRow)
        return RefusalReason::UnknownService;
    request.isUnrepeatable = isUnrepeatable(configuration.rules, request.service, httpRequest.method, path);
    request.deadline = request.receivedAt + chooseTimeout(httpRequest.headers, configuration.rules.services[request.service]);
    return RefusalReason::None;
}

} // namespace bilberry
