#include "ProcessPaths.h"

#include "Endpoint.h"
#include "Entry.h"
#include "PeerCall.h"
#include "Process.h"
#include "Refusal.h"
#include "WireHeaders.h"

namespace bilberry {

// Size limit of a JSON-RPC message, in bytes. The largest one carries an escaped document and its framing.
static constexpr size_t maxRpcBytes = 4 * maxConfigurationBytes;

static bool isReady(const Process& process)
{
    return process.node.publishedState.configuration() != nullptr && !process.node.isLeaving;
}

static HttpResponse answerRpc(Process& process, const HttpRequest& request)
{
    countControlBytes(process.node, false, request.body.size());
    if (request.body.size() > maxRpcBytes)
        return makeJsonResponse(413, "{}");
    auto response = makeJsonResponse(200, process.rpc.dispatch(request.body));
    countControlBytes(process.node, true, response.body.size());
    return response;
}

// Answers the paths that both roles share. The response has status 0 when the path is none of them.
static HttpResponse answerCommonPath(Process& process, const HttpRequest& request)
{
    if (request.path == "/rpc")
        return answerRpc(process, request);
    if (request.path == "/metrics") {
        HttpResponse response;
        response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
        response.body = process.node.metrics.serialize();
        return response;
    }
    if (request.path == "/healthz")
        return makeJsonResponse(200, R"({"healthy":true})");
    if (request.path == "/readyz")
        return isReady(process) ? makeJsonResponse(200, R"({"ready":true})") : makeJsonResponse(503, R"({"ready":false})");
    HttpResponse none;
    none.status = 0;
    return none;
}

static HttpResponse answerEndpointPath(Process& process, const HttpRequest& request)
{
    if (request.path.rfind("/forward/", 0) == 0)
        return process.endpoint->handleForwardedRequest(request);
    return process.endpoint->handleWeightRequest(request);
}

// Returns whether the path needs no signature. On an endpoint these are the health and metrics paths and the weights,
// which its engine reads; all other requests must come from processes of the system. On an entry only /rpc is signed.
static bool isUnauthenticatedPath(const Process& process, const std::string& path)
{
    if (process.entry)
        return path != "/rpc";
    return path == "/metrics" || path == "/healthz" || path == "/readyz" || path.rfind("/weights/", 0) == 0;
}

static HttpResponse refuseUnsigned(Process& process, AuthenticationResult authenticity)
{
    process.node.metrics.addToCounter("bilberry_unauthenticated_requests_total", { { "result", std::string(toText(authenticity)) } });
    Refusal refusal = makeRefusal(RefusalReason::Unauthorized);
    HttpResponse response = makeJsonResponse(403, problemDetails(refusal));
    response.headers.emplace_back(wire::outcome, std::string(toText(refusal.outcome)));
    response.headers.emplace_back(wire::reason, std::string(toText(RefusalReason::Unauthorized)));
    return response;
}

HttpResponse answerRequest(Process& process, const HttpRequest& request)
{
    if (!isUnauthenticatedPath(process, request.path)) {
        auto authenticity = verifyRequest(process.node.settings.authenticationKeys, request, std::chrono::system_clock::now());
        if (authenticity != AuthenticationResult::Accepted)
            return refuseUnsigned(process, authenticity);
    }
    HttpResponse commonResponse = answerCommonPath(process, request);
    if (commonResponse.status != 0)
        return commonResponse;
    return process.entry ? process.entry->handleRequest(request) : answerEndpointPath(process, request);
}

} // namespace bilberry
