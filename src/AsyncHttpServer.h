/// Asynchronous HTTP/1.1 server on the event loop; it needs no thread per connection.
#pragma once

#include "Address.h"
#include "EventLoop.h"
#include "HttpMessage.h"
#include "Types.h"

#include <absl/status/status.h>
#include <memory>

namespace bilberry {

class ConnectionMemory;
class ServerExchange;
class ServerConnection;

/// Limits on the size of requests, on the time that callers may take, and on the number of connections.
struct ServerLimits {
    size_t maxHeaderBytes = 16 << 10;
    size_t maxBodyBytes = 4 << 20;
    Milliseconds headerTimeout { 3000 }; ///< Time from the first byte of a request to the end of its header.
    Milliseconds bodyTimeout { 10'000 }; ///< Time from the end of the header to the end of the body.
    Milliseconds idleTimeout { 15'000 }; ///< Time between two requests, and time to take a complete response.
    size_t maxConnections = 4096; ///< For a further one, one without a request is closed, or the new one itself if there is none.
};

/// Handles one request and responds through the exchange, at once or later.
using RequestHandler = std::function<void(const std::shared_ptr<ServerExchange>&)>;

/// Listens on one address. Used by the loop's thread only.
class AsyncHttpServer {
public:
    /// Preconditions: the loop outlives the server; the handler may be called until the server is destroyed.
    AsyncHttpServer(EventLoop&, RequestHandler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer&) = delete;
    AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

    /// Lets the server count what its connections hold together with others. Precondition: listen() wasn't called.
    void shareMemory(std::shared_ptr<ConnectionMemory>);
    /// Binds the port and starts to accept connections. Error: the address can't be bound.
    absl::Status listen(const Address&);
    /// The bound port, as the system chose it if port 0 was asked for.
    int port() const;
    /// Sets the limits for new connections and for further requests on open ones.
    void setLimits(const ServerLimits&);
    /// From now on, each response closes its connection.
    void startDraining();
    /// Accepts the connections that callers have opened by now, and stops listening; open connections are kept.
    void stopAccepting();
    /// Closes the connections on which no request has been read or handled for a short time and none can be read now.
    void closeIdleConnections();
    /// Refuses the requests that haven't been read completely, and closes their connections when they are refused.
    void refuseUnreadRequests(int status, const HttpHeaders&);
    /// Closes all connections; those whose response isn't written completely, so that the caller notices that it is incomplete.
    void closeConnections();
    /// Number of open connections.
    size_t connectionCount() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace bilberry
