#include "Address.h"
#include "StandInKinds.h"
#include "StandInRate.h"
#include "StandInServer.h"
#include "TransferPacer.h"
#include <arpa/inet.h>
#include <atomic>
#include <gflags/gflags.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

DECLARE_string(listen);
DECLARE_double(bytes_per_second);
DEFINE_string(target, "", "link: IP:port that connections are relayed to");

namespace bilberry::standin {

namespace {

/// The state of the relay that stands in for a network link. Each direction has a pacer that all connections share.
struct Link {
    Controls controls;
    TransferPacer upstreamPacer;
    TransferPacer downstreamPacer;
};

/// A relayed connection. Both directions share it; the one that ends last closes its sockets.
struct Relay {
    Link& link;
    int client;
    int target;
    std::string clientIp; ///< The IP address of the client.
    std::atomic<bool> wasCut { false };

    ~Relay()
    {
        ::close(this->client);
        ::close(this->target);
    }
};

constexpr Milliseconds pollInterval { 20 };
constexpr int listenBacklog = 1024;
constexpr int socketBufferBytes = 256 * 1024;

bool isCut(const Link& link, const std::string& clientAddress)
{
    if (switchValue(link.controls, "cut", false))
        return true;
    const auto prefixes = switchValue(link.controls, "cut_from", std::vector<std::string>());
    return std::any_of(prefixes.begin(), prefixes.end(), [&](const std::string& prefix) { return clientAddress.rfind(prefix, 0) == 0; });
}

bool isCut(const Relay& relay)
{
    return relay.wasCut || isCut(relay.link, relay.clientIp);
}

/// Ends both directions. The direction that ends last resets both connections.
void cutRelay(Relay& relay)
{
    relay.wasCut = true;
    const linger reset { 1, 0 };
    for (const int socket : { relay.client, relay.target })
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

/// Waits until the socket is ready for the events and the link isn't stalled. Returns false if the relay is cut.
bool waitUntilReady(const Relay& relay, int socket, short events)
{
    while (!isCut(relay)) {
        if (switchValue(relay.link.controls, "stall", false)) {
            std::this_thread::sleep_for(pollInterval);
            continue;
        }
        pollfd state { socket, events, 0 };
        if (::poll(&state, 1, static_cast<int>(pollInterval.count())) > 0 && !switchValue(relay.link.controls, "stall", false))
            return true;
    }
    return false;
}

/// Waits until the paced bytes may be sent. Returns false if the relay is cut.
bool waitUntilDue(const Relay& relay, TimePoint due)
{
    while (Clock::now() < due) {
        if (isCut(relay))
            return false;
        std::this_thread::sleep_until(std::min(due, Clock::now() + pollInterval));
    }
    return true;
}

bool sendAll(const Relay& relay, int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        if (!waitUntilReady(relay, socket, POLLOUT))
            return false;
        const ssize_t sent = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno != EAGAIN)
            return false;
        bytes.remove_prefix(static_cast<size_t>(std::max<ssize_t>(sent, 0)));
    }
    return true;
}

/// Receives bytes and sends them on at the set rate. Returns false if the direction has ended.
bool relayNextBytes(Relay& relay, int from, int to, TransferPacer& pacer, std::string& buffer)
{
    if (!waitUntilReady(relay, from, POLLIN))
        return false;
    const double rate = switchValue(relay.link.controls, "bytes_per_second", 0.0);
    const ssize_t received = ::recv(from, buffer.data(), pacedWriteBytes(rate), 0);
    if (received < 0)
        cutRelay(relay);
    if (received <= 0)
        return false;
    const auto size = static_cast<size_t>(received);
    const TimePoint due = pacer.reserveBytes(size, rate, Clock::now());
    return waitUntilDue(relay, due) && sendAll(relay, to, { buffer.data(), size });
}

void relayDirection(Relay& relay, int from, int to, TransferPacer& pacer)
{
    std::string buffer(maxWriteBytes, '\0');
    while (relayNextBytes(relay, from, to, pacer, buffer)) { }
    if (isCut(relay))
        cutRelay(relay);
    else
        ::shutdown(to, SHUT_WR);
}

sockaddr_in socketAddress(const std::string& address)
{
    const auto [host, port] = parseAddress(address, true).value();
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &result.sin_addr);
    return result;
}

int openSocket()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    // Small buffers make the rate limit take effect at the sender soon.
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    return socket;
}

void startRelay(Link& link, int client, const std::string& clientAddress)
{
    const auto relay = std::shared_ptr<Relay>(new Relay { link, client, openSocket(), clientAddress });
    const sockaddr_in target = socketAddress(FLAGS_target);
    if (isCut(link, clientAddress) || ::connect(relay->target, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0)
        return cutRelay(*relay);
    std::thread([relay] { relayDirection(*relay, relay->client, relay->target, relay->link.upstreamPacer); }).detach();
    std::thread([relay] { relayDirection(*relay, relay->target, relay->client, relay->link.downstreamPacer); }).detach();
}

void acceptForever(Link& link, int listener)
{
    while (true) {
        sockaddr_in peer {};
        socklen_t size = sizeof(peer);
        const int client = ::accept4(listener, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC);
        if (client < 0)
            continue;
        const int enabled = 1;
        ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        std::array<char, INET_ADDRSTRLEN> clientAddress {};
        inet_ntop(AF_INET, &peer.sin_addr, clientAddress.data(), clientAddress.size());
        startRelay(link, client, clientAddress.data());
    }
}

int listenOn(const std::string& address)
{
    const int listener = openSocket();
    sockaddr_in local = socketAddress(address);
    socklen_t size = sizeof(local);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&local), size) != 0 || ::listen(listener, listenBacklog) != 0)
        std::_Exit(2);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&local), &size);
    printLine("listening " + parseAddress(address, true)->host + ":" + std::to_string(ntohs(local.sin_port)));
    return listener;
}

} // namespace

void runLink()
{
    static Link link;
    link.controls.switches = { { "bytes_per_second", FLAGS_bytes_per_second } };
    const int listener = listenOn(FLAGS_listen);
    std::thread([listener] { acceptForever(link, listener); }).detach();
    Server server(link.controls);
    server.serve("127.0.0.1:0", "control");
}

} // namespace bilberry::standin
