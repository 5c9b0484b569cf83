/// HTTP/1.1 server on the event loop.
#pragma once

#include "Address.h"
#include "EventLoop.h"
#include "HttpMessage.h"
#include "Types.h"

#include <absl/status/status.h>
#include <memory>

namespace bilberry {

class ServerExchange;
class ServerConnection;

/// Bounds on what a caller may send and how long it may take.
struct ServerLimits {
    size_t maxHeaderBytes = 16 << 10;
    size_t maxBodyBytes = 4 << 20;
    Milliseconds headerTimeout { 3000 }; ///< From the first byte of a request to the end of its header fields.
    Milliseconds bodyTimeout { 10'000 }; ///< From the end of the header fields to the end of the body.
    Milliseconds idleTimeout { 15'000 }; ///< Between two requests of a connection.
    size_t maxConnections = 4096; ///< Further ones are closed at once.
};

/// Takes one request and answers it, at once or later, through the exchange.
using RequestHandler = std::function<void(const std::shared_ptr<ServerExchange>&)>;

/// Listens on one address. Used by the loop's thread only.
class AsyncHttpServer {
public:
    /// Preconditions: the loop outlives the server; the handler may be called until the server is destroyed.
    AsyncHttpServer(EventLoop&, RequestHandler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer&) = delete;
    AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

    /// Opens the port and starts to accept. Fails when the address can't be bound.
    absl::Status listen(const Address&);
    /// The port that is listened on; the one chosen by the system where 0 was asked for.
    int port() const;
    /// Bounds for connections from now on and for further requests of open ones.
    void setLimits(const ServerLimits&);
    /// From now on each answer ends its connection.
    void startDraining();
    /// Takes no further connections.
    void stopAccepting();
    /// Closes the connections that no request is running on.
    void closeIdleConnections();
    /// Connections that are open.
    size_t connectionCount() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace bilberry
