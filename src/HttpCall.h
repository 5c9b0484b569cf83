/// Calls with a bounded answer, one at a time over a kept connection: for the store, engines, the origin and peers.
#pragma once

#include "HttpChannel.h"

#include <memory>

namespace bilberry {

/// What came of a call.
struct CallResult {
    int status = 0; ///< Zero when no whole answer came.
    ChannelEnd end = ChannelEnd::Lost;
    bool hasTimedOut = false;
    std::string body;

    /// Status or failure, for logs.
    std::string describe() const;
};

using CallHandler = std::function<void(const CallResult&)>;

/// Used by the loop's thread only.
class HttpCaller {
public:
    /// Precondition: the loop outlives it.
    HttpCaller(EventLoop&, const Address&);
    ~HttpCaller();
    HttpCaller(const HttpCaller&) = delete;
    HttpCaller& operator=(const HttpCaller&) = delete;

    /// Sends a request; the handler is called once, unless close() is called before. Preconditions: no call runs;
    /// `timeout` > 0.
    void sendRequest(const HttpRequest&, Milliseconds timeout, CallHandler);
    void get(const std::string& path, Milliseconds timeout, CallHandler);
    /// Gives up the call that runs, without an answer, and the connection.
    void close();
    /// The next call goes to that address. Precondition: no call runs.
    void setAddress(const Address&);
    bool isBusy() const;
    const Address& address() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace bilberry
