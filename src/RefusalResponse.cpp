#include "RefusalResponse.h"

#include "Node.h"
#include "Refusal.h"
#include "WireHeaders.h"

namespace bilberry {

HttpResponse makeRefusalResponse(Node& node, const HttpRequest& request, RefusalReason reason)
{
    Refusal refusal = makeRefusal(reason);
    node.metrics.addToCounter("bilberry_endpoint_refusals_total", { { "reason", std::string(toText(reason)) } });
    HttpResponse response = makeJsonResponse(httpStatus(refusal), problemDetails(refusal));
    response.headers.emplace_back(wire::outcome, std::string(toText(refusal.outcome)));
    response.headers.emplace_back(wire::reason, std::string(toText(reason)));
    response.headers.emplace_back(wire::attempt, findHeader(request.headers, wire::attempt));
    return response;
}

} // namespace bilberry
