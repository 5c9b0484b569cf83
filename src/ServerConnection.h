/// One accepted connection of an AsyncHttpServer: reads requests one after the other and writes their responses.
#pragma once

#include "AsyncHttpServer.h"
#include "ConnectionMemory.h"
#include "HttpWire.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <optional>
#include <unordered_set>

namespace bilberry {

/// State shared by the connections of one server.
struct AsyncHttpServer::State {
    State(EventLoop& loop, RequestHandler handler)
        : loop(loop)
        , handler(std::move(handler))
        , memory(std::make_shared<ConnectionMemory>(loop))
        , acceptor(loop)
        , acceptRetryTimer(loop)
    {
    }

    EventLoop& loop;
    RequestHandler handler;
    std::shared_ptr<ConnectionMemory> memory; ///< What the connections hold; shared with other servers of the process.
    boost::asio::ip::tcp::acceptor acceptor;
    LoopTimer acceptRetryTimer;
    ServerLimits limits;
    bool isDraining = false;
    std::unordered_set<ServerConnection*> connections;
};

/// Used by the loop's thread only; pending operations and the exchange keep the object alive.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
    ServerConnection(std::shared_ptr<AsyncHttpServer::State>, boost::asio::ip::tcp::socket);
    ~ServerConnection();
    ServerConnection(const ServerConnection&) = delete;
    ServerConnection& operator=(const ServerConnection&) = delete;

    /// Starts to read requests. Precondition: not called before.
    void startReading();
    /// Closes the connection if no request has been read or answered for a short time and none can be read now.
    void closeIfIdle();
    /// Refuses the request that is being read, if one is.
    void refuseUnreadRequest(int status, const HttpHeaders&);
    /// Refuses the request that is being read as not run or, before its head is read, closes the connection; a response that the
    /// caller doesn't read is cut.
    void giveUp();
    /// Goes on with a request whose body has waited until it may hold more.
    void resumeAfterWait();
    /// Closes the connection; by a TCP reset if a response isn't written completely.
    void closeInAnyPhase();
    /// Closes the connection; with `isReset` by a TCP reset, so that the peer notices an incomplete response.
    void close(bool isReset);

    /// Writes a complete response, then reads the next request.
    void writeWholeResponse(int status, const HttpHeaders&, const std::string& body);
    /// Writes the head of a streamed response together with the first chunk of its body, which may be empty.
    void writeHead(int status, const HttpHeaders&, const std::string& firstChunk, std::function<void()> onSent);
    /// Writes one more chunk. Preconditions: writeHead() was called; the chunk is not empty.
    void writeBodyChunk(std::string chunk, std::function<void()> onSent);
    /// Ends a streamed response as complete, then reads the next request.
    void writeLastChunk();
    bool isOpen() const { return this->socket.is_open(); }

    std::function<void()> onCallerLeft; ///< Callback of the current exchange; may be empty.

private:
    using Parser = boost::beast::http::request_parser<ReceivedBody>;

    void readFromSocket();
    void handleRead(const boost::system::error_code&, size_t count);
    void parseRequest();
    bool hasTooLongTrailer() const;
    bool makeRoomForBody();
    size_t heldBytes() const;
    HoldingPhase holdingPhase() const;
    void noteHeld();
    void releaseRequest();
    void handleHeader();
    void dispatchRequest();
    void refuseRequest(int status, const HttpHeaders& = {});
    void prepareNextRequest();
    void finishResponse();
    void setResetOnClose(bool isReset);
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
    TimePoint idleSince {}; ///< When the connection was accepted, or the last response was finished.
    bool isReading = false;
    bool isHeadRequest = false;
    bool keepsAlive = true;
    bool isChunked = false;
    unsigned httpVersion = 11; ///< HTTP version of the request, as ten times the major plus the minor version.

    struct PendingWrite {
        std::string bytes;
        std::function<void()> onSent;
    };
    std::deque<PendingWrite> pendingWrites; ///< The first one is being written.
    Holding* holding = nullptr; ///< What the connection holds; null once it is closed.
    size_t requestBytes = 0; ///< Bytes of the request that has been handed over, until its response is written.
    size_t pendingBytes = 0; ///< Bytes of all pending writes.
};

} // namespace bilberry
