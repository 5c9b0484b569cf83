/// HTTP calls to other processes, over kept connections.
#pragma once

#include "HttpMessage.h"

#include <functional>
#include <memory>
#include <string>

namespace bilberry {

/// Times of one call.
struct HttpTimeouts {
    Milliseconds connect { 500 };
    Milliseconds read { 30'000 }; ///< Longest silence of the peer.
};

/// What is known of a call that got no whole answer.
enum class CallFailure : uint8_t {
    None,
    NotSent, ///< No byte reached the peer.
    Lost, ///< The peer may have received the request.
    Cancelled, ///< cancel() ended it; the peer may have received it.
};

/// Outcome of a buffered call.
struct HttpReply {
    CallFailure failure = CallFailure::None;
    int status = 0; ///< Zero when no head came.
    HttpHeaders headers;
    std::string body;
};

class HttpClientPool;

/// One request in flight on a thread of its own, its answer read piece by piece. Used by one thread, except that
/// cancel() is thread safe.
class HttpExchange {
public:
    /// Sends at once. Precondition: the pool outlives the exchange.
    HttpExchange(HttpClientPool&, const std::string& address, const HttpRequest&, HttpTimeouts);
    /// Cancels what is still in progress and waits for its thread.
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    /// Blocks until the head is here or the call failed. The body of the reply is empty.
    const HttpReply& waitForHead();
    /// Blocks until there is something to read, the answer has ended, or the time is over; false in the last case.
    bool waitForProgress(Milliseconds);
    /// Reads the next piece of the body. Precondition: waitForHead() gave a head.
    BodyReadResult readBodyChunk(std::string& piece);
    /// Reads the rest of the body; false when it broke off.
    bool readRemainingBody(std::string& body);
    /// Closes the connection, which tells the peer to stop.
    void cancel();

private:
    struct State;
    std::shared_ptr<State> state;
};

/// Kept connections by address. Thread safe.
class HttpClientPool {
public:
    /// `localAddress` is the IP number that connections come from; empty leaves the choice to the system.
    explicit HttpClientPool(const std::string& localAddress = {});
    ~HttpClientPool();
    HttpClientPool(const HttpClientPool&) = delete;
    HttpClientPool& operator=(const HttpClientPool&) = delete;

    /// Sets what each request goes through before it is sent. Precondition: no call was made yet.
    void setSigner(std::function<void(HttpRequest&)>);

    /// Sends and reads the whole answer, at most `maxBodyBytes` of it (a longer one counts as lost).
    HttpReply sendRequest(const std::string& address, const HttpRequest&, HttpTimeouts, size_t maxBodyBytes);

private:
    friend class HttpExchange;
    struct State;
    std::unique_ptr<State> state;
};

} // namespace bilberry
