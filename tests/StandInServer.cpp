#include "StandInServer.h"
#include "Address.h"
#include <arpa/inet.h>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <poll.h>
#include <sys/resource.h>
#include <thread>

namespace bilberry::standin {

namespace {

constexpr int listenBacklog = 1024;
constexpr Seconds keepAliveTimeout { 120 };
constexpr Seconds socketTimeout { 120 };
constexpr size_t maxKeepAliveRequests = 1'000'000'000;

/// Runs each connection on a thread of its own. It needs no shutdown because the process ends by _Exit.
class ThreadPerConnection : public httplib::TaskQueue {
public:
    void enqueue(std::function<void()> task) override { std::thread(std::move(task)).detach(); }
    void shutdown() override { }
};

// Returns whether one end of the socket, which `getName` (getpeername or getsockname) reads, has the given IP address and
// port. The address is compared as well because the same port can be in use on several loopback addresses.
bool hasSocketAddress(int socket, int (*getName)(int, sockaddr*, socklen_t*), const std::string& host, int port)
{
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    if (getName(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0 || address.sin_family != AF_INET)
        return false;
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
    return host == text && ntohs(address.sin_port) == port;
}

bool isConnectionOfRequest(int socket, const httplib::Request& request)
{
    return hasSocketAddress(socket, getpeername, request.remote_addr, request.remote_port) && hasSocketAddress(socket, getsockname, request.local_addr, request.local_port);
}

int findConnectionSocket(const httplib::Request& request)
{
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    for (int socket = 0; socket < static_cast<int>(limit.rlim_cur); ++socket) {
        if (isConnectionOfRequest(socket, request))
            return socket;
    }
    return -1;
}

void handleFault(Controls& controls, const httplib::Request& request, httplib::Response& response)
{
    const auto patch = nlohmann::json::parse(request.body, nullptr, false);
    if (!patch.is_object())
        return answerError(response, 400, "the body is not a JSON object");
    answerJson(response, 200, mergeSwitches(controls, patch));
}

void answerCounts(Controls& controls, const httplib::Request&, httplib::Response& response)
{
    answerJson(response, 200, countsSnapshot(controls));
}

} // namespace

Server::Server(Controls& controls)
{
    this->new_task_queue = [] { return new ThreadPerConnection; };
    this->set_tcp_nodelay(true);
    this->set_keep_alive_max_count(maxKeepAliveRequests);
    this->set_keep_alive_timeout(keepAliveTimeout.count());
    this->set_read_timeout(socketTimeout);
    this->set_write_timeout(socketTimeout);
    // The library's default options would let two processes listen on the same port.
    this->set_socket_options([](socket_t socket) {
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
    this->Post("/fault", makeHandler(controls, handleFault));
    this->Get("/counts", makeHandler(controls, answerCounts));
}

void Server::serve(const std::string& address, const std::string& label)
{
    auto [host, port] = parseAddress(address, true).value();
    if (port == 0)
        port = this->bind_to_any_port(host);
    else if (!this->bind_to_port(host, port))
        port = -1;
    if (port < 0) {
        std::cerr << "cannot listen on " << address << '\n';
        std::_Exit(2);
    }
    // The library listens with a backlog of only a few connections, so listen is called again with a larger one.
    ::listen(this->svr_sock_, listenBacklog);
    printLine(label + " " + host + ":" + std::to_string(port));
    this->listen_after_bind();
}

void printLine(const std::string& line)
{
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    std::cout << line << std::endl; // NOLINT(performance-avoid-endl)
}

int connectionSocket(const httplib::Request& request)
{
    thread_local int connection = -1;
    if (!isConnectionOfRequest(connection, request))
        connection = findConnectionSocket(request);
    return connection;
}

bool waitUnlessClosed(int connection, TimePoint until)
{
    const Duration remaining = std::max(until - Clock::now(), Duration::zero());
    const auto seconds = std::chrono::duration_cast<Seconds>(remaining);
    const timespec timeout { seconds.count(), std::chrono::nanoseconds(remaining - seconds).count() };
    pollfd state { connection, POLLRDHUP, 0 };
    return ppoll(&state, 1, &timeout, nullptr) == 0;
}

void answerJson(httplib::Response& response, int status, const nlohmann::json& body)
{
    response.status = status;
    response.set_content(body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), "application/json");
}

void answerError(httplib::Response& response, int status, const std::string& text)
{
    answerJson(response, status, { { "error", text } });
}

} // namespace bilberry::standin
