/// HTTP calls whose response is buffered and bounded in size, one at a time over a keep-alive connection. They are used for
/// the store, engines, the origin and peers.
#pragma once

#include "HttpChannel.h"

#include <memory>

namespace bilberry {

/// Outcome of one call.
struct CallResult {
    int status = 0; ///< Zero if no complete response was received.
    ChannelEnd end = ChannelEnd::Lost;
    bool hasTimedOut = false;
    HttpHeaders headers; ///< Empty if no complete response was received.
    TimePoint headReceivedAt {}; ///< When the head arrived; the default value if none did.
    std::string body;

    /// HTTP status or kind of failure, for logs.
    std::string describe() const;
};

using CallHandler = std::function<void(const CallResult&)>;

/// Client for one address. Used by the loop's thread only.
class HttpCaller {
public:
    /// Precondition: the loop outlives the caller object.
    HttpCaller(EventLoop&, const Address&);
    ~HttpCaller();
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    /// Sends a request. The handler is called once, unless close() is called before. `timeout` bounds the whole call.
    /// Preconditions: no call is in flight; `timeout` > 0.
    void sendRequest(const HttpRequest&, Milliseconds timeout, CallHandler);
    void get(const std::string& path, Milliseconds timeout, CallHandler);
    /// Cancels the call in flight without calling its handler, and closes the connection.
    void close();
    /// Sets the largest response body that later calls accept; a longer one counts as malformed.
    void setMaxResponseBytes(size_t);
    /// Sets the address for later calls. Precondition: no call is in flight.
    void setAddress(const Address&);
    /// Whether a call is in flight.
    bool isBusy() const;
    const Address& address() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace bilberry
