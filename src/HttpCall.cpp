#include "HttpCall.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace bilberry {

// Largest response body that is accepted by default. A page of the store holds a configuration of megabytes at most.
static constexpr size_t defaultMaxResponseBytes = 16 << 20;
// A connection is closed if bytes sent on it stay unacknowledged for this time.
static constexpr Milliseconds unacknowledgedTimeout { 1500 };
static constexpr Milliseconds connectTimeout { 600 };

std::string CallResult::describe() const
{
    if (this->hasTimedOut)
        return "no answer in time";
    if (this->status == 0)
        return std::string("connection ") + std::string(toText(this->end));
    return fmt::format("status {}", this->status);
}

struct HttpCaller::State : std::enable_shared_from_this<HttpCaller::State> {
    State(EventLoop& loop, const Address& address)
        : loop(loop)
        , address(address)
        , timer(loop)
    {
    }

    void finishCall(ChannelEnd, bool hasTimedOut);

    EventLoop& loop;
    Address address;
    size_t maxResponseBytes = defaultMaxResponseBytes;
    LoopTimer timer;
    std::shared_ptr<HttpChannel> channel;
    CallHandler handler;
    CallResult result;
};

HttpCaller::HttpCaller(EventLoop& loop, const Address& address)
    : state(std::make_shared<State>(loop, address))
{
}

HttpCaller::~HttpCaller()
{
    this->close();
}

void HttpCaller::State::finishCall(ChannelEnd end, bool hasTimedOut)
{
    if (!this->handler)
        return;
    stopTimer(this->timer);
    this->result.end = end;
    this->result.hasTimedOut = hasTimedOut;
    if (end != ChannelEnd::Complete) {
        this->result.status = 0;
        this->result.headers.clear();
    }
    if (end != ChannelEnd::Complete && this->channel)
        this->channel->close();
    auto handler = std::move(this->handler);
    this->handler = nullptr;
    auto result = std::move(this->result);
    handler(result);
}

static ResponseHandlers makeResponseHandlers(const std::weak_ptr<HttpCaller::State>& weakState);

void HttpCaller::sendRequest(const HttpRequest& request, Milliseconds timeout, CallHandler handler)
{
    assert(!this->isBusy());
    auto& state = *this->state;
    state.handler = std::move(handler);
    state.result = CallResult();
    if (!state.channel || !state.channel->canReuse())
        state.channel = std::make_shared<HttpChannel>(state.loop, state.address, ChannelTimeouts { std::min(timeout, connectTimeout), unacknowledgedTimeout });
    HttpRequest outgoingRequest = request;
    setHeader(outgoingRequest.headers, "Host", toText(state.address));
    state.timer.expires_after(timeout);
    state.timer.async_wait([weakState = state.weak_from_this()](const boost::system::error_code& error) {
        auto self = weakState.lock();
        if (self && hasFired(self->timer, error))
            self->finishCall(ChannelEnd::Lost, true);
    });
    state.channel->sendRequest(outgoingRequest, state.maxResponseBytes, makeResponseHandlers(state.weak_from_this()));
}

static ResponseHandlers makeResponseHandlers(const std::weak_ptr<HttpCaller::State>& weakState)
{
    ResponseHandlers handlers;
    handlers.onHead = [weakState](const ResponseHead& head) {
        if (auto self = weakState.lock()) {
            self->result.status = head.status;
            self->result.headers = head.headers;
            self->result.headReceivedAt = Clock::now();
        }
        return ResponseDisposition::Accept;
    };
    handlers.onBodyChunk = [weakState](const std::string& chunk) {
        auto self = weakState.lock();
        if (!self)
            return;
        self->result.body += chunk;
        self->channel->resumeReading();
    };
    handlers.onEnd = [weakState](ChannelEnd end) {
        if (auto self = weakState.lock())
            self->finishCall(end, false);
    };
    return handlers;
}

void HttpCaller::get(const std::string& path, Milliseconds timeout, CallHandler handler)
{
    HttpRequest request;
    request.method = "GET";
    request.path = path;
    this->sendRequest(request, timeout, std::move(handler));
}

void HttpCaller::close()
{
    stopTimer(this->state->timer);
    this->state->handler = nullptr;
    if (this->state->channel)
        this->state->channel->close();
}

void HttpCaller::setMaxResponseBytes(size_t bytes)
{
    this->state->maxResponseBytes = bytes;
}

void HttpCaller::setAddress(const Address& address)
{
    assert(!this->isBusy());
    bool isSame = address.host == this->state->address.host && address.port == this->state->address.port;
    if (isSame)
        return;
    this->close();
    this->state->channel.reset();
    this->state->address = address;
}

bool HttpCaller::isBusy() const
{
    return static_cast<bool>(this->state->handler);
}

const Address& HttpCaller::address() const
{
    return this->state->address;
}

} // namespace bilberry
