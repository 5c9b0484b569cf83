/// The part of ProxiedRequest that handles one attempt at an endpoint until its end: it sends the request and receives the
/// response.

#include "DataCentreDistance.h"
#include "EntryCrashes.h"
#include "EntryNode.h"
#include "EntryRequirements.h"
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
    fields.weightVersion = weightVersionToRequire(this->node, endpoint, this->requirements);
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
    if (this->requirements.sharesEngines && endpoint.record.isModelEngine)
        this->node.metrics.addToCounter("bilberry_engine_sends_total", { { "as", toText(endpoint.share) } });
    recordDispatch(this->node.queues[this->requirements.service], now);
    noteDispatchedDemand(this->node, this->demand, now);
    this->discardBody();
    this->attempt = RequestAttempt();
    this->attempt.endpointRow = chosenRow;
    this->attempt.endpointId = endpoint.record.id;
    this->attempt.endpointStartedAt = endpoint.statement.startedAt;
    this->attempt.startedAt = now;
    this->attempt.lastReceivedAt = now;
    this->attempt.channel = this->node.channels.acquireChannel(endpoint.record.id, endpoint.record.address, mayRepeat(*this->route) ? maxIdleForRepeatable : maxIdleForUnrepeatable);
    noteSentParts(this->node.promptSuspects, this->callerRequest.sharedPromptParts);
    bool isStream = this->route->kind == RequestKind::Stream;
    this->attempt.channel->sendRequest(this->makeEndpointRequest(endpoint, now), isStream ? anyBodyBytes : maxBufferedResponseBytes, this->makeHandlers());
}

// What the channel of the current attempt calls. There may be another attempt, and the one that is answered first goes on.
ResponseHandlers ProxiedRequest::makeHandlers()
{
    ResponseHandlers handlers;
    auto weak = this->weak_from_this();
    auto sender = std::weak_ptr<HttpChannel>(this->attempt.channel);
    handlers.onHead = [weak, sender](const ResponseHead& received) {
        auto self = weak.lock();
        if (!self)
            return ResponseDisposition::Accept;
        return self->isSecondAttempt(sender) ? self->onSecondHead(received) : self->onFirstHead(received);
    };
    handlers.onBodyChunk = [weak, sender](const std::string& chunk) {
        auto self = weak.lock();
        if (!self)
            return;
        if (self->isSecondAttempt(sender))
            sender.lock()->resumeReading();
        else
            self->onBodyChunk(chunk);
    };
    handlers.onEnd = [weak, sender](ChannelEnd end) {
        auto self = weak.lock();
        if (!self)
            return;
        if (self->isSecondAttempt(sender))
            self->onSecondEnd(end);
        else
            self->onAttemptEnd(end);
    };
    return handlers;
}

ResponseDisposition ProxiedRequest::onResponseHead(const ResponseHead& received)
{
    auto now = Clock::now();
    this->attempt.lastReceivedAt = now;
    auto newReply = this->node.adapter.requests.parseReply(received);
    noteStatement(this->node, newReply, { this->callerRequest.id, this->attempt.endpointId, this->attempt.endpointStartedAt }, now);
    bool isForOtherRequest = !newReply.requestId.empty() && newReply.requestId != this->callerRequest.id;
    if (isForOtherRequest && ++this->attempt.skippedResponses <= maxSkippedResponses)
        return ResponseDisposition::Skip;
    this->attempt.responseHead = received;
    this->attempt.endpointReply = std::move(newReply);
    this->attempt.reportedLoad = this->attempt.endpointReply.load;
    auto& endpoint = this->node.clusterView.endpoints.rows[this->attempt.endpointRow];
    endpoint.lastHeardAt = now;
    recordResponseBegin(endpoint.responseDelay, this->attempt.startedAt, now);
    this->noteAnswerDelay(now);
    this->noteExchangeTimes(endpoint, now);
    if (this->attempt.reportedLoad)
        this->noteStatedLoad(endpoint, *this->attempt.reportedLoad, now);
    return ResponseDisposition::Accept;
}

// Records the exchanges of the attempt so far in which the endpoint did no work: the connect and a refusal. Connections are kept, so
// they are recorded also before data centres are weighed.
void ProxiedRequest::noteExchangeTimes(const EndpointRow& endpoint, TimePoint now)
{
    auto connectTime = this->attempt.channel->connectTime();
    if (this->attempt.channel->isFirstExchange() && connectTime > Duration(0))
        noteExchange(this->node.distances, endpoint.record.dataCentre, this->attempt.startedAt, this->attempt.startedAt + connectTime);
    if (this->attempt.endpointReply.isNotExecuted)
        noteExchange(this->node.distances, endpoint.record.dataCentre, this->attempt.startedAt, now);
}

void ProxiedRequest::noteStatedLoad(EndpointRow& endpoint, const LoadReport& load, TimePoint now)
{
    bool isOverLimit = load.running + load.waiting > concurrencyLimit(endpoint.record);
    if (this->requirements.sharesEngines && endpoint.record.isModelEngine && isOverLimit)
        this->node.metrics.addToCounter("bilberry_engine_over_limit_total", { { "as", toText(endpoint.share) } });
    noteLoadReport(endpoint, load, now);
}

void ProxiedRequest::onBodyChunk(const std::string& chunk)
{
    bool isStream = this->route->kind == RequestKind::Stream && isSuccessForRequest(this->attempt.responseHead, this->attempt.endpointReply, this->callerRequest);
    if (isStream && this->mayJoinStartedResponse()) {
        this->onStreamChunk(chunk);
        return;
    }
    this->noteProgress();
    this->attempt.body += chunk;
    this->node.bufferedResponseBytes += chunk.size();
    if (this->attempt.body.size() > maxBufferedResponseBytes || this->node.bufferedResponseBytes > maxBufferedResponses(this->node.settings.vmMemoryBytes))
        this->abandonAttempt(AttemptResult::Malformed);
    else
        this->attempt.channel->resumeReading();
}

void ProxiedRequest::noteProgress()
{
    this->attempt.lastReceivedAt = Clock::now();
    this->node.clusterView.endpoints.rows[this->attempt.endpointRow].lastHeardAt = this->attempt.lastReceivedAt;
}

void ProxiedRequest::noteEvents()
{
    this->noteProgress();
    if (this->attempt.firstEventAt == TimePoint())
        this->attempt.firstEventAt = this->attempt.lastReceivedAt;
    if (this->attempt.lastReceivedAt - this->attempt.firstEventAt >= clearingStreamTime)
        reportAnsweredParts(this->node, this->callerRequest.sharedPromptParts, this->attempt.lastReceivedAt);
}

void ProxiedRequest::discardBody()
{
    this->node.bufferedResponseBytes -= this->attempt.body.size();
    this->attempt.body.clear();
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
        this->attempt.channel->resumeReading();
    if (this->eventStream.fault != StreamFault::None && this->hasActiveAttempt())
        this->abandonAttempt(AttemptResult::Malformed);
}

// Forwards events to the caller. The next ones are read only after the caller's connection has taken these (backpressure).
void ProxiedRequest::forwardEvents(const std::string& events)
{
    auto onSent = [weak = this->weak_from_this(), sender = std::weak_ptr<HttpChannel>(this->attempt.channel)] {
        auto self = weak.lock();
        auto openChannel = sender.lock();
        if (self && openChannel && self->attempt.channel == openChannel)
            openChannel->resumeReading();
    };
    if (this->hasResponseStarted) {
        this->exchange->sendBodyChunk(events, onSent);
        return;
    }
    this->hasResponseStarted = true;
    this->startedStatus = this->attempt.responseHead.status;
    this->startedContentType = findHeader(this->attempt.responseHead.headers, contentTypeHeader);
    this->timeToFirstByte = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->arrivedAt);
    this->exchange->startResponse(this->attempt.responseHead.status, forwardableHeaders(this->attempt.responseHead.headers), events, onSent);
}

// Whether the attempt's response can be a part of what the caller is sent: once a stream has begun, it goes on only with one of the
// same status and type.
bool ProxiedRequest::mayJoinStartedResponse() const
{
    if (!this->hasResponseStarted)
        return true;
    bool hasSameType = findHeader(this->attempt.responseHead.headers, contentTypeHeader) == this->startedContentType;
    return hasSameType && this->attempt.responseHead.status == this->startedStatus;
}

} // namespace bilberry
