#include "Attempt.h"

#include "EntryRequest.h"
#include "WireHeaders.h"

namespace bilberry {

HttpRequest makeForwardedRequest(const EntryRequest& request, const AttemptParameters& attempt)
{
    const Inventory& inventory = request.configuration->inventory;
    HttpRequest forwarded = *request.httpRequest;
    forwarded.path = wire::forwardPrefix + request.httpRequest->path;
    forwarded.headers = withoutHopByHopHeaders(request.httpRequest->headers);
    forwarded.headers.emplace_back(wire::attempt, attempt.id);
    forwarded.headers.emplace_back(wire::deadlineMs, std::to_string(attempt.timeLeft.count()));
    forwarded.headers.emplace_back(wire::queueWaitMs, std::to_string(attempt.maxQueueWait.count()));
    forwarded.headers.emplace_back(wire::generation, std::to_string(request.configuration->generation));
    forwarded.headers.emplace_back(wire::service, inventory.services[request.service].name);
    forwarded.headers.emplace_back(wire::caller, inventory.callers[request.caller].name);
    forwarded.headers.emplace_back(wire::unrepeatable, request.isUnrepeatable ? "1" : "0");
    if (!attempt.lastEventId.empty())
        setHeader(forwarded.headers, wire::lastEventId, attempt.lastEventId);
    if (request.model != noRow)
        forwarded.headers.emplace_back(wire::model, inventory.models[request.model].name);
    return forwarded;
}

Refusal readRefusal(const HttpHeaders& headers)
{
    if (findHeader(headers, wire::outcome) == toText(Outcome::Ran))
        return {};
    auto reason = parseRefusalReason(findHeader(headers, wire::reason));
    return makeRefusal(reason.value_or(RefusalReason::ReplyLost));
}

} // namespace bilberry
