#include "PeerCall.h"

#include "Configuration.h"
#include "JsonRpcBridge.h"
#include "Node.h"

namespace bilberry {

// Largest answer of a peer that is read, in bytes: a configuration document with its framing, escaped.
static constexpr size_t maxReplyBytes = 4 * maxConfigurationBytes;
// Size of the HTTP head that is assumed for each message, in bytes: about what the HTTP library sends, with a signature.
static constexpr size_t assumedHttpHeadBytes = 400;

void countControlBytes(Node& node, bool isOutgoing, size_t bodyBytes)
{
    node.metrics.addToCounter("bilberry_control_bytes_total", { { "direction", isOutgoing ? "out" : "in" } }, static_cast<double>(bodyBytes + assumedHttpHeadBytes));
}

std::string callPeer(Node& node, const std::string& address, const std::string& method, const std::string& parameters, Milliseconds timeout)
{
    auto sendMessage = [&](const std::string& request, std::string& response) {
        HttpRequest message { "POST", "/rpc", { { "Content-Type", "application/json" }, { "Connection", "close" } }, request };
        countControlBytes(node, true, request.size());
        auto reply = node.clients.sendRequest(address, message, { node.settings.connectTimeout, timeout }, maxReplyBytes);
        response = std::move(reply.body);
        if (reply.failure != CallFailure::None)
            return false;
        countControlBytes(node, false, response.size());
        return reply.status == 200;
    };
    auto reply = callJsonRpc(method, parameters, sendMessage);
    return reply.error.empty() ? reply.result : std::string();
}

} // namespace bilberry
