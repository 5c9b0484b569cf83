/// The part of an entry that forwards responses to callers, and reopens broken streams at other endpoints.

#include "Attempt.h"
#include "Entry.h"
#include "EntryRequest.h"
#include "HttpClient.h"
#include "Node.h"
#include "ServiceLevel.h"
#include "StreamRelay.h"
#include "WireHeaders.h"

namespace bilberry {

/// A stream that is relayed to the caller, with what is needed to reopen it at another endpoint.
struct RelayedStream {
    HttpRequest httpRequest;
    EntryRequest request;
    std::shared_ptr<const RoutingTable> table; ///< Table in which the request is counted; null when it isn't counted.
    RowIndex vm = noRow;
    std::vector<RowIndex> triedVms;
};

void Entry::closeStream(RelayedStream& stream)
{
    if (stream.table)
        this->router.endRequest(*stream.table, stream.vm);
    stream.table = nullptr;
}

std::shared_ptr<HttpExchange> Entry::reopenStream(RelayedStream& stream, const std::string& lastId)
{
    this->router.recordRefusal(*stream.table, stream.vm, RefusalReason::ReplyLost);
    this->closeStream(stream);
    stream.triedVms.push_back(stream.vm);
    Refusal lastRefusal = makeRefusal(RefusalReason::ReplyLost);
    AttemptCounts counts;
    while (this->prepareRetry(stream.request, lastRefusal, counts)) {
        auto table = this->router.table();
        auto choice = this->selectEndpoint(stream.request, *table, stream.triedVms);
        RowIndex vm = choice.vm;
        if (vm == noRow)
            break;
        auto result = this->runAttempt(stream.request, *table, choice, lastId);
        if (result.stream) {
            stream.table = std::move(table);
            stream.vm = vm;
            this->node.metrics.addToCounter("bilberry_streams_resumed_total");
            return result.stream;
        }
        this->router.endRequest(*table, vm);
        this->router.recordRefusal(*table, vm, result.refusal.reason);
        stream.triedVms.push_back(vm);
        lastRefusal = result.refusal.reason == RefusalReason::None ? makeRefusal(RefusalReason::ReplyLost) : result.refusal;
    }
    return nullptr;
}

// Makes the response to the caller. The request to the endpoint stays counted until the last byte is sent.
HttpResponse Entry::forwardResponse(const EntryRequest& request, AttemptResponse outcome, std::shared_ptr<const RoutingTable> table, RowIndex vm)
{
    HttpResponse response = std::move(outcome.response);
    response.headers.emplace_back(wire::outcome, std::string(toText(Outcome::Ran)));
    const Inventory& inventory = request.configuration->inventory;
    MetricLabels labels { { "service", inventory.services[request.service].name }, { "caller", inventory.callers[request.caller].name } };
    this->node.metrics.addToCounter("bilberry_requests_answered_total", labels);
    this->node.metrics.observeDuration("bilberry_first_byte_seconds", Clock::now() - request.receivedAt, labels);
    auto objective = request.configuration->rules.services[request.service].latencyObjective;
    auto timeToFirstByte = Clock::now() - request.receivedAt;
    if (!outcome.stream) {
        this->router.endRequest(*table, vm);
        trackServiceLevel(this->node.metrics, response, labels, timeToFirstByte, objective);
        return response;
    }
    auto stream = std::make_shared<RelayedStream>(RelayedStream { *request.httpRequest, request, std::move(table), vm, {} });
    stream->request.httpRequest = &stream->httpRequest;
    stream->httpRequest.isSenderGone = nullptr;
    StreamReopener reopen;
    if (request.model != noRow && !request.isUnrepeatable)
        reopen = [this, stream](const std::string& lastId) { return this->reopenStream(*stream, lastId); };
    if (request.model != noRow)
        attachEventStream(response, outcome.stream, { std::move(reopen), [this, stream](HttpExchange& exchange) { return this->waitForResponseData(stream->request, exchange, *stream->table, stream->vm); } });
    else
        response.stream = [exchange = outcome.stream](std::string& piece) { return exchange->readBodyChunk(piece); };
    response.onFinished = [this, stream] { this->closeStream(*stream); };
    trackServiceLevel(this->node.metrics, response, labels, timeToFirstByte, objective);
    return response;
}

} // namespace bilberry
