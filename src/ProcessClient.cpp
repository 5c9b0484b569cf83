#include "ProcessClient.h"

#include "HttpClient.h"
#include "JsonRpcBridge.h"
#include "MessageAuthentication.h"

#include <absl/strings/str_cat.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DECLARE_string(authentication_key);

namespace bilberry {

using nlohmann::json;

static constexpr HttpTimeouts callTimeouts { Milliseconds(1000), Milliseconds(5000) };
// Size limit of an answer, in bytes. An answer is a document with its framing or the metrics of one process.
static constexpr size_t maxReplyBytes = 16 * maxConfigurationBytes;

// Signs and sends a request; every call to a process goes through this function.
static HttpReply sendToProcess(const std::string& address, HttpRequest request)
{
    static HttpClientPool pool;
    request.headers.emplace_back("Connection", "close");
    signRequest({ FLAGS_authentication_key, {} }, request, std::chrono::system_clock::now());
    return pool.sendRequest(address, request, callTimeouts, maxReplyBytes);
}

static absl::Status makeUnreachableError(const std::string& address, const std::string& reason)
{
    return absl::UnavailableError(absl::StrCat(address, ": ", reason));
}

absl::StatusOr<json> callProcess(const std::string& address, const std::string& method, const json& parameters)
{
    auto carrier = [&](const std::string& request, std::string& response) {
        auto reply = sendToProcess(address, { "POST", "/rpc", { { "Content-Type", "application/json" } }, request });
        response = std::move(reply.body);
        return reply.failure == CallFailure::None && reply.status == 200;
    };
    auto reply = callJsonRpc(method, parameters.dump(), carrier);
    if (!reply.error.empty())
        return makeUnreachableError(address, absl::StrCat("no answer to ", method, ": ", reply.error));
    auto result = json::parse(reply.result, nullptr, false);
    if (!result.is_object())
        return makeUnreachableError(address, absl::StrCat("unreadable answer to ", method));
    return result;
}

absl::StatusOr<std::string> fetchMetrics(const std::string& address)
{
    auto reply = sendToProcess(address, { "GET", "/metrics", {}, {} });
    if (reply.failure != CallFailure::None || reply.status != 200)
        return makeUnreachableError(address, "did not return metrics");
    return reply.body;
}

absl::StatusOr<std::string> fetchPage(const std::string& address, const std::string& target)
{
    auto reply = sendToProcess(address, { "GET", target, {}, {} });
    if (reply.failure != CallFailure::None)
        return makeUnreachableError(address, "did not answer");
    if (reply.status == 404)
        return absl::NotFoundError(reply.body);
    if (reply.status == 400)
        return absl::InvalidArgumentError(reply.body);
    if (reply.status != 200)
        return makeUnreachableError(address, "refused the question");
    return reply.body;
}

absl::StatusOr<ProcessStatus> fetchStatus(const std::string& address)
{
    auto answer = callProcess(address, "status", json::object());
    if (!answer.ok())
        return answer.status();
    auto status = parseProcessStatus(*answer, address);
    if (!status)
        return makeUnreachableError(address, "unreadable answer to status");
    return std::move(*status);
}

absl::StatusOr<PublishedDocument> fetchDocument(const std::string& address, DocumentKind kind)
{
    auto answer = callProcess(address, "document", { { "kind", static_cast<int>(kind) } });
    if (!answer.ok())
        return answer.status();
    try {
        PublishedDocument document;
        document.kind = kind;
        document.generation = answer->at("generation").get<Generation>();
        document.text = answer->at("text").get<std::string>();
        return document;
    } catch (const json::exception&) {
        return makeUnreachableError(address, "unreadable answer to document");
    }
}

absl::StatusOr<Configuration> fetchConfiguration(const std::string& address)
{
    auto document = fetchDocument(address, DocumentKind::Configuration);
    if (!document.ok())
        return document.status();
    if (document->generation == 0)
        return makeUnreachableError(address, "has no configuration yet");
    return parseConfiguration(document->text, document->generation);
}

} // namespace bilberry
