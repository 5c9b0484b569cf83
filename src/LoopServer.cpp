#include "LoopServer.h"

#include "ServerConnection.h"

#include <boost/asio/ip/address.hpp>

namespace asio = boost::asio;

namespace bilberry {

// Connections that wait to be accepted.
static constexpr int acceptBacklog = 1024;
// Pause after a failed accept, such as one for want of descriptors.
static constexpr Milliseconds acceptPauseTime { 20 };

LoopServer::LoopServer(EventLoop& loop, RequestHandler handler)
    : state(std::make_shared<State>(loop, std::move(handler)))
{
}

LoopServer::~LoopServer()
{
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
    this->state->acceptPause.cancel();
}

static void acceptNext(const std::shared_ptr<LoopServer::State>& state)
{
    state->acceptor.async_accept([state](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !state->acceptor.is_open())
            return;
        if (error) {
            state->acceptPause.expires_after(acceptPauseTime);
            state->acceptPause.async_wait([state](const boost::system::error_code& cancelled) {
                if (!cancelled)
                    acceptNext(state);
            });
            return;
        }
        if (state->connections.size() < state->limits.connections)
            std::make_shared<ServerConnection>(state, std::move(socket))->start();
        acceptNext(state);
    });
}

absl::Status LoopServer::listen(const Address& address)
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
    acceptNext(this->state);
    return absl::OkStatus();
}

int LoopServer::port() const
{
    boost::system::error_code error;
    return this->state->acceptor.local_endpoint(error).port();
}

void LoopServer::setLimits(const ServerLimits& limits)
{
    this->state->limits = limits;
}

void LoopServer::beginClosing()
{
    this->state->isClosing = true;
}

void LoopServer::stopAccepting()
{
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
}

void LoopServer::closeIdle()
{
    std::vector<ServerConnection*> connections(this->state->connections.begin(), this->state->connections.end());
    for (auto* connection : connections)
        connection->closeIfIdle();
}

size_t LoopServer::connectionCount() const
{
    return this->state->connections.size();
}

} // namespace bilberry
