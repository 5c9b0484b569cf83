/// The part of a request's run that is one attempt at an endpoint: what is sent, what comes back, what it shows of the endpoint.

#include "EntryNode.h"
#include "RequestRun.h"
#include "ServerExchange.h"

#include <algorithm>

namespace bilberry {

// Largest answer that is taken whole before it is passed on.
static constexpr size_t maxWholeAnswerBytes = 16 << 20;
// Answers to earlier requests that are passed over on one connection.
static constexpr int maxSkippedAnswers = 2;
// Longest idle time of a connection that a request which may not be repeated is sent on.
static constexpr Milliseconds longestIdleForOnce { 1000 };
static constexpr Milliseconds anyIdle { 3'600'000 };
// Time in which an endpoint that refused for its load or state gets nothing more.
static constexpr Milliseconds refusalPause { 60 };
// Time in which an endpoint that takes no connections gets nothing more.
static constexpr Milliseconds unreachablePause { 300 };

bool isOwnSuccess(const ResponseHead& head, const EndpointReply& reply, const CallerRequest& caller)
{
    return head.status >= 200 && head.status < 300 && reply.isSealed && reply.requestId == caller.id;
}

HttpRequest RequestRun::endpointRequest(const EndpointRow& endpoint, TimePoint now)
{
    const auto& received = this->exchange->request();
    AttemptFields fields;
    fields.timeLeft = std::max(Milliseconds(1), this->timeLeft(now));
    fields.endpointId = endpoint.record.id;
    fields.account = this->account ? this->account->name : std::string();
    fields.lastEventId = this->stream.lastId;
    HttpRequest request;
    request.method = received.method;
    request.path = received.path;
    request.headers = this->node.dialect.requests.endpointHeaders(received.headers, fields);
    request.body = received.body;
    return request;
}

void RequestRun::startAttempt(uint32_t chosen, TimePoint now)
{
    auto& endpoint = this->node.belief.endpoints.rows[chosen];
    ++endpoint.inFlight;
    this->node.hasLoadChanged = true;
    if (now < endpoint.coldUntil)
        endpoint.coldSends.push_back(now);
    while (!endpoint.coldSends.empty() && now - endpoint.coldSends.front() > Seconds(1))
        endpoint.coldSends.pop_front();
    noteStart(this->node.queues[this->need.service], now);
    this->row = chosen;
    this->endpointId = endpoint.record.id;
    this->attemptAt = now;
    this->progressAt = now;
    this->head = ResponseHead();
    this->reply = EndpointReply();
    this->body.clear();
    this->skipped = 0;
    this->channel = this->node.channels.take(endpoint.record.id, endpoint.record.address, mayRepeat(*this->route) ? anyIdle : longestIdleForOnce);
    ResponseHandlers handlers;
    auto weak = this->weak_from_this();
    handlers.onHead = [weak](const ResponseHead& received) {
        auto self = weak.lock();
        return self ? self->onHead(received) : HeadVerdict::Take;
    };
    handlers.onPiece = [weak](const std::string& piece) {
        if (auto self = weak.lock())
            self->onPiece(piece);
    };
    handlers.onEnd = [weak](ChannelEnd end) {
        if (auto self = weak.lock())
            self->onEnd(end);
    };
    this->channel->send(this->endpointRequest(endpoint, now), std::move(handlers));
}

HeadVerdict RequestRun::onHead(const ResponseHead& received)
{
    auto now = Clock::now();
    this->progressAt = now;
    auto read = this->node.dialect.requests.readReply(received);
    bool isForeign = !read.requestId.empty() && read.requestId != this->caller.id;
    if (isForeign && ++this->skipped <= maxSkippedAnswers)
        return HeadVerdict::Skip;
    this->head = received;
    this->reply = std::move(read);
    this->loadStated = this->reply.load;
    if (this->reply.load)
        noteLoad(this->node.belief.endpoints.rows[this->row], *this->reply.load, now);
    return HeadVerdict::Take;
}

void RequestRun::onPiece(const std::string& piece)
{
    this->progressAt = Clock::now();
    bool isStream = this->route->kind == RequestKind::Stream && isOwnSuccess(this->head, this->reply, this->caller);
    if (isStream) {
        this->onStreamPiece(piece);
        return;
    }
    this->body += piece;
    if (this->body.size() > maxWholeAnswerBytes)
        this->abandonAttempt(AttemptResult::Malformed);
    else
        this->channel->readOn();
}

void RequestRun::onStreamPiece(const std::string& piece)
{
    auto events = takeWholeEvents(this->stream, piece);
    if (!events.empty())
        this->passOn(events);
    else if (this->stream.fault == StreamFault::None)
        this->channel->readOn();
    if (this->stream.fault != StreamFault::None && this->isInAttempt())
        this->abandonAttempt(AttemptResult::Malformed);
}

// Passes events on; the next ones are read when the caller's connection has taken them.
void RequestRun::passOn(const std::string& events)
{
    auto onSent = [weak = this->weak_from_this(), sender = std::weak_ptr<HttpChannel>(this->channel)] {
        auto self = weak.lock();
        auto from = sender.lock();
        if (self && from && self->channel == from)
            from->readOn();
    };
    if (this->hasStarted) {
        this->exchange->send(events, onSent);
        return;
    }
    this->hasStarted = true;
    this->firstPartAfter = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->arrivedAt);
    this->exchange->start(this->head.status, forwardableHeaders(this->head.headers), events, onSent);
}

AttemptResult RequestRun::resultOfAnswer() const
{
    if (this->reply.isNotExecuted)
        return AttemptResult::NotExecuted;
    if (this->head.status < 300)
        return isOwnSuccess(this->head, this->reply, this->caller) ? AttemptResult::Answered : AttemptResult::Malformed;
    bool hasFailed = this->head.status >= 500 || isPromise(this->head.status);
    return hasFailed ? AttemptResult::ServerError : AttemptResult::Answered;
}

AttemptResult RequestRun::resultOf(ChannelEnd end) const
{
    switch (end) {
    case ChannelEnd::NotSent:
        return AttemptResult::NotSent;
    case ChannelEnd::Malformed:
        return AttemptResult::Malformed;
    case ChannelEnd::Lost:
        return AttemptResult::Lost;
    case ChannelEnd::Whole:
        break;
    }
    bool isCutEvent = !this->stream.pending.empty();
    return isCutEvent ? AttemptResult::Lost : this->resultOfAnswer();
}

void RequestRun::onEnd(ChannelEnd end)
{
    auto result = this->resultOf(end);
    this->releaseEndpoint(result, Clock::now());
    this->afterAttempt(result);
}

// Gives the place and the connection back, and keeps what the attempt showed of the endpoint.
void RequestRun::releaseEndpoint(AttemptResult result, TimePoint now)
{
    auto& endpoint = this->node.belief.endpoints.rows[this->row];
    --endpoint.inFlight;
    this->node.hasLoadChanged = true;
    if (result == AttemptResult::Answered)
        this->node.crashes.clear(this->fingerprint);
    if (result == AttemptResult::Lost || result == AttemptResult::NotSent) {
        auto crashed = noteLoss(endpoint.losses, this->fingerprint, endpoint.inFlight, result == AttemptResult::NotSent, now);
        if (!crashed.empty())
            reportCrash(this->node, crashed, this->endpointId, now);
    }
    bool isReplaced = result == AttemptResult::NotExecuted && !this->reply.endpointId.empty() && this->reply.endpointId != this->endpointId;
    if (isReplaced) {
        // Another endpoint has the address: the list is behind.
        endpoint.listedUntil = now;
        this->node.channels.drop(this->endpointId);
    }
    if (result == AttemptResult::NotSent)
        endpoint.avoidUntil = std::max(endpoint.avoidUntil, now + unreachablePause);
    if (result == AttemptResult::Answered)
        noteOutcome(endpoint, true, now);
    else if (result == AttemptResult::NotExecuted)
        endpoint.avoidUntil = std::max(endpoint.avoidUntil, now + refusalPause);
    else if (result != AttemptResult::TimedOut)
        noteOutcome(endpoint, false, now);
    this->node.channels.give(this->endpointId, std::move(this->channel));
    this->channel = nullptr;
    this->row = noEndpoint;
}

void RequestRun::abandonAttempt(AttemptResult result)
{
    this->channel->close();
    this->releaseEndpoint(result, Clock::now());
    this->afterAttempt(result);
}

} // namespace bilberry
