#include "HttpClient.h"

#include "Address.h"
#include "ChannelPool.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace asio = boost::asio;

namespace bilberry {

// Idle time up to which a connection is reused. Peers close an idle connection after 5 s (see HttpServer.cpp).
static constexpr Milliseconds maxIdleTime { 3000 };
// Largest number of idle connections per address. Each occupies a thread of the peer.
static constexpr size_t maxIdleConnections = 8;
// A connection is closed if bytes sent on it stay unacknowledged for this time.
static constexpr Milliseconds unacknowledgedTimeout { 30'000 };
// Received bytes that are buffered until the reader takes them; receiving pauses beyond that.
static constexpr size_t maxBufferedBytes = size_t(256) * 1024;

struct HttpClientPool::State {
    explicit State(const std::string& ip)
        : localAddress(ip)
        , work(asio::make_work_guard(this->loop))
        , channels(this->loop, ChannelTimeouts { Milliseconds(0), unacknowledgedTimeout }, maxIdleConnections)
        , thread([this] { this->loop.run(); })
    {
    }

    ~State()
    {
        // After what cancelled calls still have to close.
        asio::post(this->loop, [this] { this->loop.stop(); });
        this->thread.join();
    }

    std::string localAddress;
    std::function<void(HttpRequest&)> signer; ///< May be empty.
    EventLoop loop { 1 };
    asio::executor_work_guard<EventLoop::executor_type> work;
    ChannelPool channels; ///< Used by the loop's thread only.
    std::thread thread;
};

static CallFailure toCallFailure(ChannelEnd end)
{
    switch (end) {
    case ChannelEnd::Complete:
        return CallFailure::None;
    case ChannelEnd::NotSent:
        return CallFailure::NotSent;
    case ChannelEnd::Lost:
    case ChannelEnd::Malformed:
        break;
    }
    return CallFailure::Lost;
}

HttpClientPool::HttpClientPool(const std::string& localAddress)
    : state(std::make_unique<State>(localAddress))
{
}

HttpClientPool::~HttpClientPool() = default;

void HttpClientPool::setSigner(std::function<void(HttpRequest&)> signer)
{
    this->state->signer = std::move(signer);
}

HttpReply HttpClientPool::sendRequest(const std::string& address, const HttpRequest& request, HttpTimeouts timeouts, size_t maxBodyBytes)
{
    HttpExchange exchange(*this, address, request, timeouts);
    const HttpReply& head = exchange.waitForHead();
    HttpReply reply;
    reply.status = head.status;
    if (reply.status == 0) {
        reply.failure = head.failure;
        return reply;
    }
    reply.headers = head.headers;
    std::string chunk;
    BodyReadResult result;
    while ((result = exchange.readBodyChunk(chunk)) == BodyReadResult::More && reply.body.size() + chunk.size() <= maxBodyBytes)
        reply.body += chunk;
    reply.failure = result == BodyReadResult::End ? CallFailure::None : CallFailure::Lost;
    return reply;
}

/// Shared by the reader and the loop's thread, which sends the request and receives the response.
struct HttpExchange::State : std::enable_shared_from_this<HttpExchange::State> {
    State(HttpClientPool::State& pool, const std::string& address, HttpTimeouts timeouts)
        : pool(pool)
        , address(address)
        , timeouts(timeouts)
        , silenceTimer(pool.loop)
    {
    }

    HttpClientPool::State& pool;
    const std::string address;
    const HttpTimeouts timeouts;

    std::mutex mutex; ///< Guards the members up to `buffer`.
    std::condition_variable changed;
    bool hasHead = false;
    bool wasHeadRead = false; ///< Whether waitForHead() has returned.
    bool isDone = false;
    bool isPaused = false; ///< Whether the channel waits until the reader has taken the buffer.
    HttpReply head; ///< Isn't written any more once isDone is set.
    std::string buffer;

    // Used by the loop's thread only.
    std::shared_ptr<HttpChannel> channel; ///< Null before the call and after its end.
    LoopTimer silenceTimer;
    TimePoint startedAt {};
    TimePoint heardAt {}; ///< When the peer last sent bytes of the response; the default value before that.

    void start(const Address&, const HttpRequest&);
    ResponseHandlers makeHandlers();
    void receiveHead(const ResponseHead&);
    void receiveChunk(const std::string&);
    void resumeReading();
    TimePoint silenceEnd();
    void watchSilence(TimePoint);
    void finishCall(CallFailure);
    // Sets the outcome unless there is one. Precondition: the mutex is locked.
    void setOutcome(CallFailure);
};

void HttpExchange::State::start(const Address& peer, const HttpRequest& request)
{
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->isDone)
            return;
    }
    this->channel = this->pool.channels.acquireChannel(this->address, peer, maxIdleTime);
    if (!this->channel->isOpen())
        this->channel->setConnectOptions(this->pool.localAddress, this->timeouts.connect);
    this->startedAt = Clock::now();
    this->channel->sendRequest(request, anyBodyBytes, this->makeHandlers());
    this->watchSilence(this->startedAt + this->timeouts.read);
}

ResponseHandlers HttpExchange::State::makeHandlers()
{
    ResponseHandlers handlers;
    auto self = this->shared_from_this();
    handlers.onHead = [self](const ResponseHead& received) {
        self->receiveHead(received);
        return ResponseDisposition::Accept;
    };
    handlers.onBodyChunk = [self](const std::string& chunk) { self->receiveChunk(chunk); };
    handlers.onEnd = [self](ChannelEnd end) { self->finishCall(toCallFailure(end)); };
    return handlers;
}

void HttpExchange::State::receiveHead(const ResponseHead& received)
{
    this->heardAt = Clock::now();
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->isDone)
        return;
    this->head.status = received.status;
    this->head.headers = received.headers;
    this->hasHead = true;
    this->changed.notify_all();
}

void HttpExchange::State::receiveChunk(const std::string& chunk)
{
    this->heardAt = Clock::now();
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->isDone)
            return;
        this->buffer += chunk;
        this->isPaused = this->buffer.size() >= maxBufferedBytes;
        this->changed.notify_all();
        if (this->isPaused)
            return;
    }
    this->channel->resumeReading();
}

void HttpExchange::State::resumeReading()
{
    this->heardAt = Clock::now();
    if (this->channel)
        this->channel->resumeReading();
}

// Time at which the call is given up unless the peer sends bytes before. The time in which a new channel connects isn't counted.
TimePoint HttpExchange::State::silenceEnd()
{
    if (this->heardAt != TimePoint())
        return this->heardAt + this->timeouts.read;
    Duration connectTime { 0 };
    if (this->channel->isFirstExchange()) {
        bool isConnected = this->channel->connectTime() > Duration(0);
        connectTime = isConnected ? this->channel->connectTime() : Duration(this->timeouts.connect);
    }
    return this->startedAt + connectTime + this->timeouts.read;
}

// Looks at the time `next` whether the peer has been silent for too long, and later again if it hasn't.
void HttpExchange::State::watchSilence(TimePoint next)
{
    this->silenceTimer.expires_at(next);
    this->silenceTimer.async_wait([self = this->shared_from_this()](const boost::system::error_code& cancelled) {
        if (!hasFired(self->silenceTimer, cancelled) || !self->channel)
            return;
        {
            std::lock_guard<std::mutex> lock(self->mutex);
            // A reader that takes its time isn't the peer's silence.
            if (self->isPaused)
                self->heardAt = Clock::now();
        }
        auto end = self->silenceEnd();
        if (Clock::now() < end) {
            self->watchSilence(end);
            return;
        }
        self->channel->closeInOrder();
        self->finishCall(CallFailure::Lost);
    });
}

void HttpExchange::State::finishCall(CallFailure failure)
{
    stopTimer(this->silenceTimer);
    this->pool.channels.releaseChannel(this->address, std::move(this->channel));
    this->channel = nullptr;
    std::lock_guard<std::mutex> lock(this->mutex);
    this->setOutcome(failure);
}

void HttpExchange::State::setOutcome(CallFailure failure)
{
    if (this->isDone)
        return;
    this->head.failure = failure;
    this->isDone = true;
    this->changed.notify_all();
}

// The request as it is sent: signed, and with the address of the peer if it names no other host.
static HttpRequest makeOutgoingRequest(const HttpRequest& request, const std::string& address, const std::function<void(HttpRequest&)>& signer)
{
    HttpRequest outgoing { request.method, request.path, request.headers, request.body, request.sharedBody, {} };
    if (signer)
        signer(outgoing);
    if (findHeader(outgoing.headers, "Host").empty())
        setHeader(outgoing.headers, "Host", address);
    return outgoing;
}

HttpExchange::HttpExchange(HttpClientPool& pool, const std::string& address, const HttpRequest& request, HttpTimeouts timeouts)
    : state(std::make_shared<State>(*pool.state, address, timeouts))
{
    auto peer = parseAddress(address);
    if (!peer.ok()) {
        this->state->head.failure = CallFailure::NotSent;
        this->state->isDone = true;
        return;
    }
    auto outgoing = makeOutgoingRequest(request, address, pool.state->signer);
    asio::post(pool.state->loop, [state = this->state, peer = *peer, outgoing = std::move(outgoing)] { state->start(peer, outgoing); });
}

HttpExchange::~HttpExchange()
{
    this->cancel();
}

const HttpReply& HttpExchange::waitForHead()
{
    std::unique_lock<std::mutex> lock(this->state->mutex);
    this->state->changed.wait(lock, [&] { return this->state->hasHead || this->state->isDone; });
    this->state->wasHeadRead = true;
    return this->state->head;
}

bool HttpExchange::waitForProgress(Milliseconds time)
{
    std::unique_lock<std::mutex> lock(this->state->mutex);
    auto& state = *this->state;
    bool needsHead = !state.wasHeadRead;
    return state.changed.wait_for(lock, time, [&] { return (needsHead && state.hasHead) || !state.buffer.empty() || state.isDone; });
}

BodyReadResult HttpExchange::readBodyChunk(std::string& chunk)
{
    std::unique_lock<std::mutex> lock(this->state->mutex);
    this->state->changed.wait(lock, [&] { return !this->state->buffer.empty() || this->state->isDone; });
    if (this->state->buffer.empty())
        return this->state->head.failure == CallFailure::None ? BodyReadResult::End : BodyReadResult::Truncated;
    chunk = std::move(this->state->buffer);
    this->state->buffer.clear();
    if (this->state->isPaused) {
        this->state->isPaused = false;
        asio::post(this->state->pool.loop, [state = this->state] { state->resumeReading(); });
    }
    return BodyReadResult::More;
}

bool HttpExchange::readRemainingBody(std::string& body)
{
    std::string chunk;
    for (;;) {
        auto result = this->readBodyChunk(chunk);
        if (result != BodyReadResult::More)
            return result == BodyReadResult::End;
        body += chunk;
    }
}

void HttpExchange::cancel()
{
    std::lock_guard<std::mutex> lock(this->state->mutex);
    if (this->state->isDone)
        return;
    this->state->setOutcome(CallFailure::Cancelled);
    asio::post(this->state->pool.loop, [state = this->state] {
        if (!state->channel)
            return;
        state->channel->closeInOrder();
        state->finishCall(CallFailure::Cancelled);
    });
}

} // namespace bilberry
