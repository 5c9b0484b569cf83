#include "HttpServer.h"

#include "CallerStream.h"
#include "ServedConnections.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bilberry {

// An idle connection occupies a thread, so it is closed after this time.
static constexpr Seconds keepAliveTime { 5 };
// Timeout for reading from a slow sender, and for writing to a slow receiver.
static constexpr Seconds transferTimeout { 30 };
// Length of the accept queue. The library's own value of 5 is too short for a burst of new connections.
static constexpr int listenQueueLength = 1024;
// Interval at which connections that wait for a thread are looked after while no new one arrives.
static constexpr Milliseconds idleInterval { 200 };
// Bytes that the head of a request is assumed to hold.
static constexpr size_t assumedHeadBytes = 8 << 10;
// Retry-After delay, in seconds, for a request that is refused because callers hold too many bytes.
static constexpr const char* memoryRetryAfter = "1";
// Number of descriptors that are checked to find the socket of a request.
static constexpr int maxScannedDescriptors = 4096;

namespace {

/// Thread pool that grows with the number of connections, up to a bound, and doesn't shrink. A connection occupies a thread
/// for as long as it is open, even while it is idle.
class ConnectionThreadPool : public httplib::TaskQueue {
public:
    ConnectionThreadPool(size_t maxThreads, std::atomic<size_t>& connections, ServedConnections& served)
        : maxThreads(maxThreads)
        , connectionCount(connections)
        , served(served)
    {
    }

    void enqueue(std::function<void()> task) override
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        ++this->connectionCount;
        this->tasks.push_back(std::move(task));
        if (this->tasks.size() > this->idleThreads && this->threads.size() < this->maxThreads)
            this->threads.emplace_back([this] { this->runTasks(); });
        this->changed.notify_one();
        this->freeThread();
    }

    void on_idle() override // NOLINT(readability-identifier-naming): name required by the library.
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->freeThread();
    }

    void shutdown() override
    {
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            this->isStopping = true;
            this->changed.notify_all();
        }
        for (auto& thread : this->threads)
            thread.join();
    }

private:
    // Gives up a connection if a new one waits and no thread is or becomes free. Precondition: the mutex is locked.
    void freeThread()
    {
        bool isFull = this->threads.size() >= this->maxThreads && this->idleThreads == 0;
        if (isFull && !this->tasks.empty())
            this->served.makeRoom();
    }

    void runTasks()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        for (;;) {
            ++this->idleThreads;
            this->changed.wait(lock, [this] { return !this->tasks.empty() || this->isStopping; });
            --this->idleThreads;
            if (this->tasks.empty())
                return;
            auto task = std::move(this->tasks.front());
            this->tasks.pop_front();
            lock.unlock();
            task();
            --this->connectionCount;
            lock.lock();
        }
    }

    const size_t maxThreads;
    std::atomic<size_t>& connectionCount;
    ServedConnections& served;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::function<void()>> tasks;
    std::vector<std::thread> threads;
    size_t idleThreads = 0;
    bool isStopping = false;
};

// Number of the connection that the thread serves.
thread_local uint64_t servedNumber = 0;

/// The library's server with a stream and a count of its own for each connection.
class BoundedServer : public httplib::Server {
public:
    explicit BoundedServer(ServedConnections& served)
        : served(served)
    {
    }

private:
    bool process_and_close_socket(socket_t socket) override // NOLINT(readability-identifier-naming): name required by the library.
    {
        CallerStream stream(socket, transferTimeout);
        std::string ip;
        int port = 0;
        stream.get_remote_ip_and_port(ip, port);
        servedNumber = this->served.add(socket, ip);
        while (this->svr_sock_ != INVALID_SOCKET && stream.waitForRequest(keepAliveTime) && this->serveRequest(stream)) { }
        this->served.remove(servedNumber);
        ::shutdown(socket, SHUT_RDWR);
        ::close(socket);
        return true;
    }

    // Returns whether another request may follow.
    bool serveRequest(CallerStream& stream)
    {
        this->served.setHeld(servedNumber, HoldingPhase::ReadingHead, assumedHeadBytes);
        bool isClosed = false;
        bool isServed = this->process_request(stream, false, isClosed, nullptr);
        this->served.setHeld(servedNumber, HoldingPhase::Idle, 0);
        return isServed && !isClosed && !this->served.isGivenUp(servedNumber);
    }

    ServedConnections& served;
};

} // namespace

struct HttpServer::State {
    State(size_t maxRequestBytes, size_t maxBodyBytes)
        : served(makeLimitsOfSum(maxRequestBytes, maxBodyBytes))
        , server(served)
    {
    }

    Address address;
    size_t maxConnections = 0;
    std::atomic<size_t> connectionCount { 0 }; ///< Connections that are open or wait for a thread.
    ServedConnections served;
    BoundedServer server;
    int listeningSocket = -1;
    int port = 0;
    std::thread acceptor;
};

HttpServer::HttpServer(const Address& listen, int threads, size_t maxBodyBytes, size_t maxRequestBytes)
    : state(std::make_unique<State>(maxRequestBytes, maxBodyBytes))
{
    this->state->address = listen;
    auto& server = this->state->server;
    this->state->maxConnections = static_cast<size_t>(threads);
    server.new_task_queue = [state = this->state.get()] { return new ConnectionThreadPool(state->maxConnections, state->connectionCount, state->served); };
    server.set_payload_max_length(maxBodyBytes);
    server.set_keep_alive_timeout(keepAliveTime.count());
    server.set_keep_alive_max_count(SIZE_MAX);
    server.set_idle_interval(idleInterval);
    server.set_tcp_nodelay(true);
    server.set_socket_options([state = this->state.get()](socket_t socket) {
        int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        state->listeningSocket = socket;
    });
}

HttpServer::~HttpServer()
{
    this->stop();
}

absl::Status HttpServer::bind()
{
    const Address& address = this->state->address;
    if (address.port == 0)
        this->state->port = this->state->server.bind_to_any_port(address.host);
    else if (this->state->server.bind_to_port(address.host, address.port))
        this->state->port = address.port;
    if (this->state->port <= 0)
        return absl::UnavailableError(absl::StrCat("can't listen on ", toText(address)));
    ::listen(this->state->listeningSocket, listenQueueLength);
    return absl::OkStatus();
}

static std::string ipAddressText(const sockaddr_in& address)
{
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    return text;
}

static bool isSocketOfRequest(int socket, const httplib::Request& request)
{
    sockaddr_in peer {};
    sockaddr_in own {};
    socklen_t peerSize = sizeof peer;
    socklen_t ownSize = sizeof own;
    if (getpeername(socket, reinterpret_cast<sockaddr*>(&peer), &peerSize) != 0 || getsockname(socket, reinterpret_cast<sockaddr*>(&own), &ownSize) != 0)
        return false;
    return peer.sin_family == AF_INET && ntohs(peer.sin_port) == request.remote_port && ntohs(own.sin_port) == request.local_port && ipAddressText(peer) == request.remote_addr;
}

// Whether the sender of the request has closed its connection. The library doesn't tell which socket that is, so the first
// call searches for it and keeps it in `socket`; it stays the same while the handler runs.
static bool hasPeerClosed(const httplib::Request& request, int& socket)
{
    for (int candidate = 0; socket < 0 && candidate < maxScannedDescriptors; ++candidate) {
        if (isSocketOfRequest(candidate, request))
            socket = candidate;
    }
    pollfd state { socket, POLLRDHUP, 0 };
    return socket >= 0 && poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static HttpRequest toHttpRequest(const httplib::Request& request)
{
    HttpRequest own;
    own.method = request.method;
    own.path = request.target;
    own.headers.assign(request.headers.begin(), request.headers.end());
    own.isSenderGone = [&request, socket = -1]() mutable { return hasPeerClosed(request, socket); };
    return own;
}

// Passes the next chunk of a streamed body to the library; returning false closes the connection.
static bool writeNextBodyChunk(const HttpResponse& response, std::string& firstChunk, httplib::DataSink& sink)
{
    std::string chunk = std::move(firstChunk);
    firstChunk.clear();
    auto result = chunk.empty() ? response.stream(chunk) : BodyReadResult::More;
    if (result == BodyReadResult::Truncated)
        return false;
    if (result == BodyReadResult::End) {
        sink.done();
        return true;
    }
    return chunk.empty() ? sink.is_writable() : sink.write(chunk.data(), chunk.size());
}

static void fillLibraryResponse(httplib::Response& target, HttpResponse response)
{
    target.status = response.status;
    std::string type = findHeader(response.headers, "Content-Type");
    if (type.empty())
        type = "application/octet-stream";
    for (const auto& [name, value] : withoutHopByHopHeaders(response.headers)) {
        if (name != "Content-Type" && name != "content-type")
            target.set_header(name, value);
    }
    // withoutHopByHopHeaders() removes this project's headers, but they are needed between its processes.
    for (const auto& [name, value] : response.headers) {
        if (name.rfind("X-Bilberry-", 0) == 0)
            target.set_header(name, value);
    }
    if (!response.stream) {
        target.set_content(response.body, type);
        return;
    }
    auto shared = std::make_shared<HttpResponse>(std::move(response));
    auto firstChunk = std::make_shared<std::string>(std::move(shared->body));
    auto provider = [shared, firstChunk](size_t, httplib::DataSink& sink) { return writeNextBodyChunk(*shared, *firstChunk, sink); };
    auto release = [shared](bool) {
        if (shared->onFinished)
            shared->onFinished();
    };
    target.set_chunked_content_provider(type, provider, release);
}

// Reads a body, whose memory is counted before it is taken. Returns false if it isn't whole or its connection was given up.
static bool readBody(const httplib::ContentReader& reader, ServedConnections& served, std::string& body)
{
    served.setHeld(servedNumber, HoldingPhase::ReadingBody, assumedHeadBytes);
    return reader([&](const char* data, size_t size) {
        size_t needed = body.size() + size;
        if (needed > body.capacity()) {
            size_t capacity = std::max(needed, 2 * body.capacity());
            if (!served.waitToHoldBody(servedNumber, assumedHeadBytes + capacity))
                return false;
            body.reserve(capacity);
        }
        body.append(data, size);
        return true;
    });
}

// Refuses a request whose body wasn't read wholly, so that it hasn't run.
static void refuseForMemory(httplib::Response& response)
{
    response.status = 503;
    response.set_header("Retry-After", memoryRetryAfter);
    response.set_header("Connection", "close");
}

void HttpServer::start(HttpHandler handler)
{
    auto adapter = [handler = std::move(handler), state = this->state.get()](const HttpRequest& request, httplib::Response& response) {
        state->served.setHeld(servedNumber, HoldingPhase::Running, assumedHeadBytes + request.body.capacity());
        fillLibraryResponse(response, handler(request));
        // Keep-alive connections are closed from three quarters of the limit on, before they occupy all threads.
        if (state->connectionCount > state->maxConnections / 4 * 3)
            response.set_header("Connection", "close");
    };
    auto adapterWithBody = [adapter, state = this->state.get()](const httplib::Request& request, httplib::Response& response, const httplib::ContentReader& reader) {
        auto own = toHttpRequest(request);
        if (readBody(reader, state->served, own.body))
            adapter(own, response);
        else if (state->served.isGivenUp(servedNumber))
            refuseForMemory(response);
    };
    auto adapterWithoutBody = [adapter](const httplib::Request& request, httplib::Response& response) { adapter(toHttpRequest(request), response); };
    auto& server = this->state->server;
    server.Get(".*", adapterWithoutBody);
    server.Post(".*", adapterWithBody);
    server.Put(".*", adapterWithBody);
    server.Patch(".*", adapterWithBody);
    server.Delete(".*", adapterWithBody);
    server.Options(".*", adapterWithoutBody);
    this->state->acceptor = std::thread([&server] { server.listen_after_bind(); });
    while (!server.is_running())
        std::this_thread::yield();
}

int HttpServer::port() const
{
    return this->state->port;
}

void HttpServer::stop()
{
    if (!this->state->acceptor.joinable())
        return;
    this->state->server.stop();
    this->state->acceptor.join();
}

} // namespace bilberry
