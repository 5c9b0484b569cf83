/// The part of ProxiedRequest that handles one attempt at an endpoint until its end: it sends the request and receives the
/// response.

#include "EntryCrashes.h"
#include "EntryNode.h"
#include "EntryStatements.h"
#include "ProxiedRequest.h"
#include "RequestMemory.h"
#include "ServerExchange.h"

#include <algorithm>
#include <utility>

namespace bilberry {

// Largest response that is buffered as a whole before it is forwarded. A larger one counts as malformed.
static constexpr size_t maxBufferedResponseBytes = 16 << 20;
// Number of responses to earlier requests that an attempt skips on its connection.
static constexpr int maxSkippedResponses = 2;
// Longest idle time of a connection that is reused for a request that may not be repeated. Such a request can't be retried
// if it is lost on a stale connection.
static constexpr Milliseconds maxIdleForUnrepeatable { 1000 };
// Longest idle time of a connection that is reused for a repeatable request. It is long enough to allow any reuse.
static constexpr Milliseconds maxIdleForRepeatable { 3'600'000 };
static constexpr std::string_view contentTypeHeader = "Content-Type";
// Time for which a stream goes on before its request counts as one that crashes no endpoint.
static constexpr Milliseconds clearingStreamTime { 1500 };

bool isSuccessForRequest(const ResponseHead& head, const EndpointReply& reply, const CallerRequest& caller)
{
    return head.status >= 200 && head.status < 300 && reply.isSealed && reply.requestId == caller.id;
}

HttpRequest ProxiedRequest::makeEndpointRequest(const EndpointRow& endpoint, TimePoint now)
{
    const auto& received = this->exchange->request();
    EndpointRequestFields fields;
    fields.timeLeft = std::max(Milliseconds(1), this->timeLeft(now));
    fields.endpointId = endpoint.record.id;
    fields.account = this->account ? this->account->name : std::string();
    fields.lastEventId = this->eventStream.lastEventId;
    fields.weightVersion = this->weightVersionToRequire(endpoint);
    HttpRequest request;
    request.method = received.method;
    request.path = received.path;
    request.headers = this->node.adapter.requests.makeEndpointHeaders(received.headers, fields);
    // The attempt writes the received body itself; the exchange holds it until then.
    request.sharedBody = std::shared_ptr<const std::string>(this->exchange, &received.body);
    return request;
}

void ProxiedRequest::startAttempt(uint32_t chosenRow, TimePoint now)
{
    auto& endpoint = this->node.clusterView.endpoints.rows[chosenRow];
    ++endpoint.inFlight;
    recordSend(endpoint.responseDelay, now);
    this->node.hasChangesForPeers = true;
    if (now < endpoint.coldUntil)
        endpoint.coldSends.push_back(now);
    while (!endpoint.coldSends.empty() && now - endpoint.coldSends.front() > Seconds(1))
        endpoint.coldSends.pop_front();
    recordDispatch(this->node.queues[this->requirements.service], now);
    this->endpointRow = chosenRow;
    this->endpointId = endpoint.record.id;
    this->endpointStartedAt = endpoint.statement.startedAt;
    this->attemptStartedAt = now;
    this->lastReceivedAt = now;
    this->firstEventAt = TimePoint();
    this->responseHead = ResponseHead();
    this->endpointReply = EndpointReply();
    this->discardBody();
    this->skippedResponses = 0;
    this->channel = this->node.channels.acquireChannel(endpoint.record.id, endpoint.record.address, mayRepeat(*this->route) ? maxIdleForRepeatable : maxIdleForUnrepeatable);
    ResponseHandlers handlers;
    auto weak = this->weak_from_this();
    handlers.onHead = [weak](const ResponseHead& received) {
        auto self = weak.lock();
        return self ? self->onResponseHead(received) : ResponseDisposition::Accept;
    };
    handlers.onBodyChunk = [weak](const std::string& chunk) {
        if (auto self = weak.lock())
            self->onBodyChunk(chunk);
    };
    handlers.onEnd = [weak](ChannelEnd end) {
        if (auto self = weak.lock())
            self->onAttemptEnd(end);
    };
    noteSentParts(this->node.promptSuspects, this->callerRequest.sharedPromptParts);
    bool isStream = this->route->kind == RequestKind::Stream;
    this->channel->sendRequest(this->makeEndpointRequest(endpoint, now), isStream ? anyBodyBytes : maxBufferedResponseBytes, std::move(handlers));
}

ResponseDisposition ProxiedRequest::onResponseHead(const ResponseHead& received)
{
    auto now = Clock::now();
    this->lastReceivedAt = now;
    auto newReply = this->node.adapter.requests.parseReply(received);
    noteStatement(this->node, newReply, { this->callerRequest.id, this->endpointId, this->endpointStartedAt }, now);
    bool isForOtherRequest = !newReply.requestId.empty() && newReply.requestId != this->callerRequest.id;
    if (isForOtherRequest && ++this->skippedResponses <= maxSkippedResponses)
        return ResponseDisposition::Skip;
    this->responseHead = received;
    this->endpointReply = std::move(newReply);
    this->reportedLoad = this->endpointReply.load;
    auto& endpoint = this->node.clusterView.endpoints.rows[this->endpointRow];
    endpoint.lastHeardAt = now;
    recordResponseBegin(endpoint.responseDelay, this->attemptStartedAt, now);
    if (this->endpointReply.load)
        noteLoadReport(endpoint, *this->endpointReply.load, now);
    return ResponseDisposition::Accept;
}

void ProxiedRequest::onBodyChunk(const std::string& chunk)
{
    bool isStream = this->route->kind == RequestKind::Stream && isSuccessForRequest(this->responseHead, this->endpointReply, this->callerRequest);
    if (isStream && this->mayJoinStartedResponse()) {
        this->onStreamChunk(chunk);
        return;
    }
    this->noteProgress();
    this->body += chunk;
    this->node.bufferedResponseBytes += chunk.size();
    if (this->body.size() > maxBufferedResponseBytes || this->node.bufferedResponseBytes > maxBufferedResponses(this->node.settings.vmMemoryBytes))
        this->abandonAttempt(AttemptResult::Malformed);
    else
        this->channel->resumeReading();
}

void ProxiedRequest::noteProgress()
{
    this->lastReceivedAt = Clock::now();
    this->node.clusterView.endpoints.rows[this->endpointRow].lastHeardAt = this->lastReceivedAt;
}

void ProxiedRequest::noteEvents()
{
    this->noteProgress();
    if (this->firstEventAt == TimePoint())
        this->firstEventAt = this->lastReceivedAt;
    if (this->lastReceivedAt - this->firstEventAt >= clearingStreamTime)
        reportAnsweredParts(this->node, this->callerRequest.sharedPromptParts, this->lastReceivedAt);
}

void ProxiedRequest::discardBody()
{
    this->node.bufferedResponseBytes -= this->body.size();
    this->body.clear();
}

// Only whole events are progress of a stream: a stalled endpoint may still send a byte now and then.
void ProxiedRequest::onStreamChunk(const std::string& chunk)
{
    auto events = takeCompleteEvents(this->eventStream, chunk);
    if (!events.empty())
        this->noteEvents();
    if (!events.empty())
        this->forwardEvents(events);
    else if (this->eventStream.fault == StreamFault::None)
        this->channel->resumeReading();
    if (this->eventStream.fault != StreamFault::None && this->hasActiveAttempt())
        this->abandonAttempt(AttemptResult::Malformed);
}

// Forwards events to the caller. The next ones are read only after the caller's connection has taken these (backpressure).
void ProxiedRequest::forwardEvents(const std::string& events)
{
    auto onSent = [weak = this->weak_from_this(), sender = std::weak_ptr<HttpChannel>(this->channel)] {
        auto self = weak.lock();
        auto openChannel = sender.lock();
        if (self && openChannel && self->channel == openChannel)
            openChannel->resumeReading();
    };
    if (this->hasResponseStarted) {
        this->exchange->sendBodyChunk(events, onSent);
        return;
    }
    this->hasResponseStarted = true;
    this->startedStatus = this->responseHead.status;
    this->startedContentType = findHeader(this->responseHead.headers, contentTypeHeader);
    this->timeToFirstByte = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->arrivedAt);
    this->exchange->startResponse(this->responseHead.status, forwardableHeaders(this->responseHead.headers), events, onSent);
}

// Whether the attempt's response can be a part of what the caller is sent: once a stream has begun, it goes on only with one of the
// same status and type.
bool ProxiedRequest::mayJoinStartedResponse() const
{
    if (!this->hasResponseStarted)
        return true;
    bool hasSameType = findHeader(this->responseHead.headers, contentTypeHeader) == this->startedContentType;
    return hasSameType && this->responseHead.status == this->startedStatus;
}

} // namespace bilberry
