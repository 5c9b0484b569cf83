/// One request that an AsyncHttpServer has read, and the means to respond to it.
#pragma once

#include "HttpMessage.h"
#include "Types.h"

#include <memory>

namespace bilberry {

class ServerConnection;

/// Used by the loop's thread only. Each exchange is ended once, by sendResponse(), finishResponse() or abortResponse(); calls
/// after that, or after the caller has disconnected, have no effect.
class ServerExchange {
public:
    ServerExchange(std::shared_ptr<ServerConnection>, HttpRequest, TimePoint receivedAt);
    ~ServerExchange();
    ServerExchange(const ServerExchange&) = delete;
    ServerExchange& operator=(const ServerExchange&) = delete;

    const HttpRequest& request() const { return this->receivedRequest; }
    /// Time at which the last byte of the request was read.
    TimePoint receivedAt() const { return this->receivedTime; }
    /// Whether the caller closed the connection before the response was complete.
    bool hasCallerLeft() const;
    /// Sets a callback that is called once if the caller disconnects. Precondition: the exchange has not ended.
    void onCallerLeft(std::function<void()>);

    /// Sends a complete response and ends the exchange.
    void sendResponse(int status, const HttpHeaders&, const std::string& body);
    /// Sends the head of a streamed response together with the first chunk of its body, which may be empty. `onSent` is
    /// called when the connection has taken them.
    void startResponse(int status, const HttpHeaders&, const std::string& firstChunk, std::function<void()> onSent);
    /// Sends one more chunk; `onSent` is called when the connection has taken it. Preconditions: startResponse() was called,
    /// and the chunk before is sent.
    void sendBodyChunk(std::string chunk, std::function<void()> onSent);
    /// Ends a streamed response as complete.
    void finishResponse();
    /// Closes the connection, so that the caller notices that the response is incomplete.
    void abortResponse();

private:
    std::shared_ptr<ServerConnection> connection;
    HttpRequest receivedRequest;
    TimePoint receivedTime;
    bool isEnded = false;
};

} // namespace bilberry
