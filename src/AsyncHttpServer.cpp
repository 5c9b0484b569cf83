#include "AsyncHttpServer.h"

#include "ConnectionMemory.h"
#include "ServerConnection.h"

#include <boost/asio/ip/address.hpp>

namespace asio = boost::asio;

namespace bilberry {

// Largest number of connections that wait to be accepted.
static constexpr int acceptBacklog = 1024;
// Delay after a failed accept, for example when the process has run out of file descriptors.
static constexpr Milliseconds acceptRetryDelay { 20 };

AsyncHttpServer::AsyncHttpServer(EventLoop& loop, RequestHandler handler)
    : state(std::make_shared<State>(loop, std::move(handler)))
{
}

AsyncHttpServer::~AsyncHttpServer()
{
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
    this->state->acceptRetryTimer.cancel();
    // A response that is being written refers to its connection, which would hold itself for ever.
    this->closeConnections();
}

static void startConnection(const std::shared_ptr<AsyncHttpServer::State>& state, asio::ip::tcp::socket socket)
{
    bool isFull = state->connections.size() >= state->limits.maxConnections;
    if (isFull && !state->memory->makeRoomForConnection(state.get())) {
        state->memory->noteCutOff(CutOffCause::NoRoom);
        return;
    }
    std::make_shared<ServerConnection>(state, std::move(socket))->startReading();
}

static void acceptNextConnection(const std::shared_ptr<AsyncHttpServer::State>& state)
{
    state->acceptor.async_accept([state](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
        if (!error)
            startConnection(state, std::move(socket));
        if (error == asio::error::operation_aborted || !state->acceptor.is_open())
            return;
        if (error) {
            state->acceptRetryTimer.expires_after(acceptRetryDelay);
            state->acceptRetryTimer.async_wait([state](const boost::system::error_code& cancelled) {
                if (!cancelled)
                    acceptNextConnection(state);
            });
            return;
        }
        acceptNextConnection(state);
    });
}

void AsyncHttpServer::shareMemory(std::shared_ptr<ConnectionMemory> memory)
{
    this->state->memory = std::move(memory);
}

absl::Status AsyncHttpServer::listen(const Address& address)
{
    boost::system::error_code error;
    auto ip = asio::ip::make_address(address.host, error);
    if (error)
        return absl::InvalidArgumentError(toText(address) + ": " + error.message());
    asio::ip::tcp::endpoint local(ip, static_cast<uint16_t>(address.port));
    auto& acceptor = this->state->acceptor;
    acceptor.open(local.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(local, error);
    if (!error)
        acceptor.listen(acceptBacklog, error);
    if (error)
        return absl::UnavailableError(toText(address) + ": " + error.message());
    acceptNextConnection(this->state);
    return absl::OkStatus();
}

int AsyncHttpServer::port() const
{
    boost::system::error_code error;
    return this->state->acceptor.local_endpoint(error).port();
}

void AsyncHttpServer::setLimits(const ServerLimits& limits)
{
    this->state->limits = limits;
}

void AsyncHttpServer::startDraining()
{
    this->state->isDraining = true;
}

void AsyncHttpServer::stopAccepting()
{
    auto& acceptor = this->state->acceptor;
    if (!acceptor.is_open())
        return;
    boost::system::error_code error;
    acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(this->state->loop);
        acceptor.accept(socket, error);
        if (!error)
            startConnection(this->state, std::move(socket));
    }
    acceptor.close(error);
}

void AsyncHttpServer::closeIdleConnections()
{
    std::vector<ServerConnection*> connections(this->state->connections.begin(), this->state->connections.end());
    for (auto* connection : connections)
        connection->closeIfIdle();
}

void AsyncHttpServer::refuseUnreadRequests(int status, const HttpHeaders& headers)
{
    std::vector<ServerConnection*> connections(this->state->connections.begin(), this->state->connections.end());
    for (auto* connection : connections)
        connection->refuseUnreadRequest(status, headers);
}

void AsyncHttpServer::closeConnections()
{
    std::vector<std::shared_ptr<ServerConnection>> connections;
    for (auto* connection : this->state->connections)
        connections.push_back(connection->shared_from_this());
    for (const auto& connection : connections)
        connection->closeInAnyPhase();
}

size_t AsyncHttpServer::connectionCount() const
{
    return this->state->connections.size();
}

} // namespace bilberry
