/// The HTTP server of a process: one handler for every request, one thread a connection.
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
    /// `threads` bounds the connections served at a time; near the bound, answers ask peers to close theirs; `maxBodyBytes` bounds a request's body.
    HttpServer(const Address& listen, int threads, size_t maxBodyBytes);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Binds, so that connections queue up. Error: the address can't be bound. Call once.
    absl::Status bind();
    /// Starts to answer with `handler`, which is called by many threads at once. Precondition: bind() succeeded.
    void start(HttpHandler handler);
    /// Port that was bound.
    int port() const;
    /// Accepts no new connections and waits for the requests in progress. Thread safe.
    void stop();

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace bilberry
