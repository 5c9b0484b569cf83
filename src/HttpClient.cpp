#include "HttpClient.h"

#include "Address.h"

#include <condition_variable>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace bilberry {

// Idle time up to which a connection is reused. Peers close an idle connection after 5 s (see HttpServer.cpp).
static constexpr Seconds maxIdleTime { 3 };
// Largest number of idle connections per address.
static constexpr size_t maxIdleConnections = 8;
// Received bytes that are buffered until the reader takes them; receiving pauses beyond that.
static constexpr size_t maxBufferedBytes = size_t(256) * 1024;

namespace {
struct IdleClient {
    std::unique_ptr<httplib::Client> client;
    TimePoint idleSince;
};
} // namespace

struct HttpClientPool::State {
    std::string localAddress;
    std::function<void(HttpRequest&)> signer; ///< May be empty.
    std::mutex mutex;
    std::unordered_map<std::string, std::vector<IdleClient>> idleClients;

    std::unique_ptr<httplib::Client> acquireClient(const std::string& address)
    {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            auto& clients = this->idleClients[address];
            while (!clients.empty()) {
                auto candidate = std::move(clients.back());
                clients.pop_back();
                if (Clock::now() - candidate.idleSince < maxIdleTime)
                    return std::move(candidate.client);
            }
        }
        auto parsed = parseAddress(address);
        if (!parsed.ok())
            return nullptr;
        auto client = std::make_unique<httplib::Client>(parsed->host, parsed->port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_url_encode(false);
        if (!this->localAddress.empty())
            client->set_interface(this->localAddress);
        return client;
    }

    void releaseClient(const std::string& address, std::unique_ptr<httplib::Client> client)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        auto& clients = this->idleClients[address];
        if (clients.size() < maxIdleConnections)
            clients.push_back({ std::move(client), Clock::now() });
    }
};

static httplib::Request toLibraryRequest(HttpRequest request, const std::function<void(HttpRequest&)>& signer)
{
    if (signer)
        signer(request);
    httplib::Request libraryRequest;
    libraryRequest.method = request.method;
    libraryRequest.path = request.path;
    for (const auto& [name, value] : request.headers)
        libraryRequest.headers.emplace(name, value);
    libraryRequest.body = std::move(request.body);
    return libraryRequest;
}

static void setTimeouts(httplib::Client& client, HttpTimeouts timeouts)
{
    client.set_connection_timeout(timeouts.connect);
    client.set_read_timeout(timeouts.read);
    client.set_write_timeout(timeouts.read);
}

static CallFailure toCallFailure(httplib::Error error)
{
    switch (error) {
    case httplib::Error::Success:
        return CallFailure::None;
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
        return CallFailure::NotSent;
    default:
        return CallFailure::Lost;
    }
}

HttpClientPool::HttpClientPool(const std::string& localAddress)
    : state(std::make_unique<State>())
{
    this->state->localAddress = localAddress;
}

HttpClientPool::~HttpClientPool() = default;

void HttpClientPool::setSigner(std::function<void(HttpRequest&)> signer)
{
    this->state->signer = std::move(signer);
}

HttpReply HttpClientPool::sendRequest(const std::string& address, const HttpRequest& request, HttpTimeouts timeouts, size_t maxBodyBytes)
{
    HttpReply reply;
    auto client = this->state->acquireClient(address);
    if (!client) {
        reply.failure = CallFailure::NotSent;
        return reply;
    }
    setTimeouts(*client, timeouts);
    auto libraryRequest = toLibraryRequest(request, this->state->signer);
    libraryRequest.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
        if (reply.body.size() + size > maxBodyBytes)
            return false;
        reply.body.append(data, size);
        return true;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    client->send(libraryRequest, response, error);
    reply.failure = toCallFailure(error);
    reply.status = std::max(response.status, 0);
    reply.headers.assign(response.headers.begin(), response.headers.end());
    if (reply.failure == CallFailure::None)
        this->state->releaseClient(address, std::move(client));
    return reply;
}

// Shared by the reading thread and the thread that sends the request.
struct HttpExchange::State {
    std::mutex mutex;
    std::condition_variable changed;
    std::unique_ptr<httplib::Client> client;
    bool hasHead = false;
    bool wasHeadRead = false; ///< Whether waitForHead() has returned.
    bool isDone = false;
    bool isCancelled = false;
    HttpReply head;
    std::string buffer;
    std::thread thread;
};

HttpExchange::HttpExchange(HttpClientPool& pool, const std::string& address, const HttpRequest& request, HttpTimeouts timeouts)
    : state(std::make_shared<State>())
{
    auto state = this->state;
    state->client = pool.state->acquireClient(address);
    if (!state->client) {
        state->head.failure = CallFailure::NotSent;
        state->isDone = true;
        return;
    }
    setTimeouts(*state->client, timeouts);
    auto libraryRequest = toLibraryRequest(request, pool.state->signer);
    libraryRequest.response_handler = [state](const httplib::Response& response) {
        std::lock_guard<std::mutex> lock(state->mutex);
        state->head.status = response.status;
        state->head.headers.assign(response.headers.begin(), response.headers.end());
        state->hasHead = true;
        state->changed.notify_all();
        return !state->isCancelled;
    };
    libraryRequest.content_receiver = [state](const char* data, size_t size, uint64_t, uint64_t) {
        std::unique_lock<std::mutex> lock(state->mutex);
        state->changed.wait(lock, [&] { return state->buffer.size() < maxBufferedBytes || state->isCancelled; });
        state->buffer.append(data, size);
        state->changed.notify_all();
        return !state->isCancelled;
    };
    state->thread = std::thread([state, libraryRequest = std::move(libraryRequest), &pool, address]() mutable {
        httplib::Response response;
        auto error = httplib::Error::Success;
        state->client->send(libraryRequest, response, error);
        std::lock_guard<std::mutex> lock(state->mutex);
        state->head.failure = state->isCancelled ? CallFailure::Cancelled : toCallFailure(error);
        state->isDone = true;
        if (state->head.failure == CallFailure::None)
            pool.state->releaseClient(address, std::move(state->client));
        state->changed.notify_all();
    });
}

HttpExchange::~HttpExchange()
{
    this->cancel();
    if (this->state->thread.joinable())
        this->state->thread.join();
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
    this->state->changed.notify_all();
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
    this->state->isCancelled = true;
    this->state->client->stop();
    this->state->changed.notify_all();
}

} // namespace bilberry
