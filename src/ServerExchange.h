/// One request that a server has read, and the way to answer it.
#pragma once

#include "HttpMessage.h"
#include "Types.h"

#include <memory>

namespace bilberry {

class ServerConnection;

/// Used by the loop's thread only. Each exchange is ended once, by answer(), finish() or abort(); calls after that, or after
/// the caller has left, do nothing.
class ServerExchange {
public:
    ServerExchange(std::shared_ptr<ServerConnection>, HttpRequest, TimePoint receivedAt);
    ~ServerExchange();
    ServerExchange(const ServerExchange&) = delete;
    ServerExchange& operator=(const ServerExchange&) = delete;

    const HttpRequest& request() const { return this->receivedRequest; }
    /// When the last byte of the request was read.
    TimePoint receivedAt() const { return this->receivedTime; }
    /// Whether the caller closed the connection before the answer was complete.
    bool hasCallerLeft() const;
    /// Called once when the caller leaves. Precondition: the exchange is not ended.
    void onCallerLeft(std::function<void()>);

    /// Sends a whole answer.
    void sendResponse(int status, const HttpHeaders&, const std::string& body);
    /// Sends the head of an answer whose body comes in parts, together with the first part.
    void startResponse(int status, const HttpHeaders&, const std::string& firstPart, std::function<void()> onSent);
    /// Sends one more part; `onSent` is called when the connection has taken it. Precondition: start() was called and the
    /// part before is sent.
    void sendBodyChunk(std::string part, std::function<void()> onSent);
    /// Ends an answer that came in parts, as complete.
    void finishResponse();
    /// Closes the connection, so that the caller sees that the answer is not complete.
    void abortResponse();

private:
    std::shared_ptr<ServerConnection> connection;
    HttpRequest receivedRequest;
    TimePoint receivedTime;
    bool isEnded = false;
};

} // namespace bilberry
