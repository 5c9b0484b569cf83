/// HTTP server with one thread per connection and one handler for all requests.
#pragma once

#include "Address.h"
#include "HttpMessage.h"

#include <absl/status/status.h>
#include <functional>
#include <memory>

namespace bilberry {

using HttpHandler = std::function<HttpResponse(const HttpRequest&)>;

class HttpServer {
public:
    /// `threads` is the largest number of connections served at a time. Close to it, responses tell
    /// clients to close their connections.
    /// `maxBodyBytes` is the largest accepted request body. `maxRequestBytes` bounds what the requests of all connections hold
    /// together, and is at least two largest requests; zero: no bound.
    HttpServer(const Address& listen, int threads, size_t maxBodyBytes, size_t maxRequestBytes);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds and listens, so that connections are queued by the system. Error: the address can't be bound. Call once.
    absl::Status bind();
    /// Starts to serve requests with `handler`, which several threads call at the same time. Precondition: bind() succeeded.
    void start(HttpHandler handler);
    /// The bound port, as the system chose it if port 0 was asked for.
    int port() const;
    /// Stops accepting connections and waits for the requests in progress. Thread safe.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace bilberry
