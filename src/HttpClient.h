/// Blocking HTTP calls to other processes over pooled keep-alive connections.
#pragma once

#include "HttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace bilberry {

/// Timeouts of one call.
struct HttpTimeouts {
    Milliseconds connect { 500 };
    Milliseconds read { 30'000 }; ///< Longest time without a byte of the response, once the connection is made.
};

/// Why a call got no complete response, and whether the peer may have received the request.
enum class CallFailure : uint8_t {
    None,
    NotSent, ///< No byte of the request reached the peer.
    Lost, ///< The connection failed; the peer may have received the request.
    Cancelled, ///< cancel() ended the call; the peer may have received the request.
};

/// Outcome of a call whose response was buffered.
struct HttpReply {
    CallFailure failure = CallFailure::None;
    int status = 0; ///< Zero if no response head was received.
    HttpHeaders headers;
    std::string body;
};

class HttpClientPool;

/// One request in flight; its response is read chunk by chunk. Used by one thread, except that cancel() is thread safe.
class HttpExchange {
public:
    /// Starts to send the request. Precondition: the pool outlives the exchange.
    HttpExchange(HttpClientPool&, const std::string& address, const HttpRequest&, HttpTimeouts);
    /// Cancels the call if it is still in progress.
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    /// Blocks until the response head is received or the call has failed. The body of the reply is empty.
    const HttpReply& waitForHead();
    /// Blocks until the head or body bytes can be read, the response has ended, or the time is over. Returns false in the
    /// last case.
    bool waitForProgress(Milliseconds);
    /// Blocks until the next bytes of the body are received, and reads them. Precondition: waitForHead() returned a head.
    BodyReadResult readBodyChunk(std::string& chunk);
    /// Reads the rest of the body; returns false if the response ended early.
    bool readRemainingBody(std::string& body);
    /// Closes the connection, by which the peer notices that it can stop.
    void cancel();

private:
    struct State;
    std::shared_ptr<State> state;
};

/// Pool of idle connections by address, with a thread that sends all requests and receives all responses. Thread safe.
class HttpClientPool {
public:
    /// Starts the thread. `localAddress` is the IP address that connections are made from; if it is empty, the system chooses one.
    explicit HttpClientPool(const std::string& localAddress = {});
    ~HttpClientPool();
    HttpClientPool(const HttpClientPool&) = delete;
    HttpClientPool& operator=(const HttpClientPool&) = delete;

    /// Sets a function that signs each request before it is sent. Precondition: no call was made yet.
    void setSigner(std::function<void(HttpRequest&)>);

    /// Sends a request and reads the whole response. A response body beyond `maxBodyBytes` counts as CallFailure::Lost.
    HttpReply sendRequest(const std::string& address, const HttpRequest&, HttpTimeouts, size_t maxBodyBytes);

private:
    friend class HttpExchange;
    struct State;
    std::unique_ptr<State> state;
};

} // namespace bilberry
