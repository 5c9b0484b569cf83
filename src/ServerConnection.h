/// One accepted connection of a LoopServer: reads requests one after the other and writes their answers.
#pragma once

#include "AsyncHttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <optional>
#include <unordered_set>

namespace bilberry {

/// What the connections of one server share.
struct AsyncHttpServer::State {
    State(EventLoop& loop, RequestHandler handler)
        : loop(loop)
        , handler(std::move(handler))
        , acceptor(loop)
        , acceptRetryTimer(loop)
    {
    }

    EventLoop& loop;
    RequestHandler handler;
    boost::asio::ip::tcp::acceptor acceptor;
    LoopTimer acceptRetryTimer;
    ServerLimits limits;
    bool isDraining = false;
    std::unordered_set<ServerConnection*> connections;
};

/// Used by the loop's thread only; kept alive by its pending operations and by the exchange.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(std::shared_ptr<AsyncHttpServer::State>, boost::asio::ip::tcp::socket);
    ~ServerConnection();
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    /// Starts to read. Precondition: called once.
    void startReading();
    /// Closes the connection unless a request is being read or answered.
    void closeIfIdle();
    /// Closes the connection, with a reset where an answer is not complete.
    void close(bool isReset);

    /// Writes the head and the body of a whole answer, then reads the next request.
    void writeWholeResponse(int status, const HttpHeaders&, const std::string& body);
    void writeHead(int status, const HttpHeaders&, const std::string& firstPart, std::function<void()> onSent);
    void writeBodyChunk(std::string part, std::function<void()> onSent);
    void writeLastChunk();
    bool isOpen() const { return this->socket.is_open(); }

    std::function<void()> onCallerLeft; ///< Of the running exchange.

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void readFromSocket();
    void handleRead(const boost::system::error_code&, size_t count);
    void parseRequest();
    void handleHeader();
    void dispatchRequest();
    void refuseRequest(int status);
    void prepareNextRequest();
    void finishResponse();
    void startTimer(Milliseconds);
    void enqueueWrite(std::string bytes, std::function<void()> onSent);
    void writeNextBuffer();
    void handleDisconnect();
    std::string makeResponseHead(int status, const HttpHeaders&, std::optional<size_t> bodySize);

    enum class Phase : uint8_t { Idle,
        ReadingHeader,
        ReadingBody,
        Responding,
        Lingering };

    std::shared_ptr<AsyncHttpServer::State> server;
    boost::asio::ip::tcp::socket socket;
    LoopTimer timer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    Phase phase = Phase::Idle;
    bool isReading = false;
    bool isHeadRequest = false;
    bool keepsAlive = true;
    bool isChunked = false;
    unsigned httpVersion = 11; ///< Ten times the major plus the minor version of HTTP.

    struct PendingWrite {
        std::string bytes;
        std::function<void()> onSent;
    };
    std::deque<PendingWrite> pendingWrites; ///< The first is being written.
};

} // namespace bilberry
