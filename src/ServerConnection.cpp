#include "ServerConnection.h"

#include "ServerExchange.h"

#include <absl/strings/match.h>
#include <boost/asio/write.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <cassert>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace bilberry {

// Size of one read from the socket, and number of bytes up to which further requests are read while one is handled.
static constexpr size_t readBufferBytes = 8 << 10;
static constexpr size_t maxReadAheadBytes = 16 << 10;
// Time after its begin or its last response for which an idle connection isn't closed, since a request may be on its way.
static constexpr Milliseconds minIdleTimeToClose { 500 };
// Time for which a connection lingers after its last response, so that the caller can read it before the socket is closed.
static constexpr Milliseconds lingerTime { 500 };

ServerConnection::ServerConnection(std::shared_ptr<AsyncHttpServer::State> server, asio::ip::tcp::socket socket)
    : server(std::move(server))
    , socket(std::move(socket))
    , timer(this->server->loop)
{
    this->server->connections.insert(this);
}

ServerConnection::~ServerConnection()
{
    this->server->connections.erase(this);
}

void ServerConnection::startReading()
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->prepareNextRequest();
}

void ServerConnection::closeIfIdle()
{
    if (this->phase != Phase::Idle || !this->socket.is_open())
        return;
    boost::system::error_code error;
    bool hasUnreadBytes = this->socket.available(error) > 0;
    if (!hasUnreadBytes && Clock::now() - this->idleSince >= minIdleTimeToClose)
        this->close(false);
}

void ServerConnection::refuseUnreadRequest(int status, const HttpHeaders& headers)
{
    if (this->phase == Phase::ReadingHeader || this->phase == Phase::ReadingBody)
        this->refuseRequest(status, headers);
}

void ServerConnection::closeInAnyPhase()
{
    this->close(this->phase == Phase::Responding);
}

void ServerConnection::close(bool isReset)
{
    if (!this->socket.is_open())
        return;
    boost::system::error_code ignored;
    if (isReset)
        this->setResetOnClose(true);
    stopTimer(this->timer);
    this->socket.close(ignored);
    this->onCallerLeft = nullptr;
    this->pendingWrites.clear();
}

// Whether the system resets the connection when the socket is closed, also when the process is killed. An answer that ends with its
// connection would look whole otherwise.
void ServerConnection::setResetOnClose(bool isReset)
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(isReset, 0), ignored);
}

// Handles a connection that was closed by the caller or failed.
void ServerConnection::handleDisconnect()
{
    bool hasOpenResponse = this->phase == Phase::Responding;
    auto handler = std::move(this->onCallerLeft);
    this->close(hasOpenResponse);
    if (hasOpenResponse && handler)
        handler();
}

void ServerConnection::startTimer(Milliseconds time)
{
    this->timer.expires_after(time);
    this->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& error) {
        if (!hasFired(self->timer, error))
            return;
        bool isReadingRequest = self->phase == Phase::ReadingHeader || self->phase == Phase::ReadingBody;
        if (isReadingRequest)
            self->refuseRequest(408);
        else
            self->close(self->phase == Phase::Responding);
    });
}

// Prepares for the next request, whose first bytes may already be in the buffer.
void ServerConnection::prepareNextRequest()
{
    this->phase = Phase::Idle;
    this->idleSince = Clock::now();
    this->onCallerLeft = nullptr;
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->header_limit(static_cast<uint32_t>(this->server->limits.maxHeaderBytes));
    this->parser->body_limit(this->server->limits.maxBodyBytes);
    if (this->buffer.size() > 0) {
        this->parseRequest();
        return;
    }
    this->startTimer(this->server->limits.idleTimeout);
    this->readFromSocket();
}

void ServerConnection::readFromSocket()
{
    if (this->isReading || !this->socket.is_open())
        return;
    this->isReading = true;
    this->socket.async_read_some(this->buffer.prepare(readBufferBytes), [self = this->shared_from_this()](const boost::system::error_code& error, size_t count) {
        self->isReading = false;
        self->handleRead(error, count);
    });
}

void ServerConnection::handleRead(const boost::system::error_code& error, size_t count)
{
    if (error) {
        if (this->socket.is_open())
            this->handleDisconnect();
        return;
    }
    this->buffer.commit(count);
    if (this->phase == Phase::Lingering) {
        this->buffer.consume(this->buffer.size());
        this->readFromSocket();
    } else if (this->phase != Phase::Responding) {
        this->parseRequest();
    } else if (this->buffer.size() < maxReadAheadBytes) {
        this->readFromSocket();
    }
}

void ServerConnection::parseRequest()
{
    if (this->phase == Phase::Idle) {
        this->phase = Phase::ReadingHeader;
        this->startTimer(this->server->limits.headerTimeout);
    }
    boost::system::error_code error;
    while (this->buffer.size() > 0 && !this->parser->is_done()) {
        size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (error == http::error::need_more)
            break;
        if (error) {
            this->refuseRequest(isHeaderTooLarge(error) ? 431 : isBodyTooLarge(error) ? 413
                                                                                      : 400);
            return;
        }
    }
    if (this->phase == Phase::ReadingHeader && this->parser->is_header_done()) {
        this->handleHeader();
        if (this->phase == Phase::Lingering)
            return;
    }
    if (this->parser->is_done())
        this->dispatchRequest();
    else
        this->readFromSocket();
}

// Only a single chunked transfer coding is supported. With any other, this server and the caller could disagree about where
// the body ends.
static bool hasUnsupportedTransferCoding(const http::request<ReceivedBody>& request)
{
    auto range = request.equal_range(http::field::transfer_encoding);
    for (auto position = range.first; position != range.second; ++position) {
        auto value = position->value();
        if (!absl::EqualsIgnoreCase(absl::string_view(value.data(), value.size()), "chunked"))
            return true;
    }
    return std::distance(range.first, range.second) > 1;
}

void ServerConnection::handleHeader()
{
    this->phase = Phase::ReadingBody;
    const auto& request = this->parser->get();
    bool isAmbiguous = hasUnsupportedTransferCoding(request) || request.count(http::field::host) != 1;
    if (isAmbiguous) {
        this->refuseRequest(400);
        return;
    }
    this->keepsAlive = request.keep_alive();
    this->httpVersion = request.version();
    this->isHeadRequest = request.method() == http::verb::head;
    if (this->parser->is_done())
        return;
    this->startTimer(this->server->limits.bodyTimeout);
    auto expected = request[http::field::expect];
    if (absl::EqualsIgnoreCase(absl::string_view(expected.data(), expected.size()), "100-continue")) {
        http::response<http::empty_body> continueResponse(http::status::continue_, 11);
        this->enqueueWrite(serializeResponseHead(continueResponse), nullptr);
    }
}

void ServerConnection::dispatchRequest()
{
    stopTimer(this->timer);
    this->phase = Phase::Responding;
    auto message = this->parser->release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    request.headers = readFields(message);
    request.body = std::move(message.body());
    // Reading continues, so that a disconnect of the caller is noticed.
    this->readFromSocket();
    auto exchange = std::make_shared<ServerExchange>(this->shared_from_this(), std::move(request), Clock::now());
    this->server->handler(exchange);
}

// Responds with an error to a request that was not read completely. Further bytes are read and discarded for a while: a close
// with unread bytes would reset the connection before the caller has read the response.
void ServerConnection::refuseRequest(int status, const HttpHeaders& headers)
{
    this->keepsAlive = false;
    this->isHeadRequest = false;
    this->phase = Phase::Lingering;
    this->startTimer(lingerTime);
    this->enqueueWrite(this->makeResponseHead(status, headers, 0), [self = this->shared_from_this()] {
        boost::system::error_code ignored;
        self->socket.shutdown(asio::socket_base::shutdown_send, ignored);
        self->readFromSocket();
    });
}

std::string ServerConnection::makeResponseHead(int status, const HttpHeaders& headers, std::optional<size_t> bodySize)
{
    http::response<http::empty_body> head;
    head.version(11);
    head.result(static_cast<unsigned>(status));
    writeFields(headers, head);
    if (this->server->isDraining)
        this->keepsAlive = false;
    this->isChunked = !bodySize && this->httpVersion >= 11;
    if (bodySize)
        head.set(http::field::content_length, std::to_string(*bodySize));
    else if (this->isChunked)
        head.set(http::field::transfer_encoding, "chunked");
    else
        this->keepsAlive = false;
    bool endsWithConnection = !bodySize && !this->isChunked;
    if (endsWithConnection)
        this->setResetOnClose(true);
    if (!this->keepsAlive)
        head.set(http::field::connection, "close");
    return serializeResponseHead(head);
}

void ServerConnection::writeWholeResponse(int status, const HttpHeaders& headers, const std::string& body)
{
    auto bytes = this->makeResponseHead(status, headers, body.size());
    if (!this->isHeadRequest)
        bytes += body;
    // A caller that doesn't read the response must not keep the connection open forever.
    this->startTimer(this->server->limits.idleTimeout);
    this->enqueueWrite(std::move(bytes), [self = this->shared_from_this()] { self->finishResponse(); });
}

void ServerConnection::writeHead(int status, const HttpHeaders& headers, const std::string& firstChunk, std::function<void()> onSent)
{
    auto bytes = this->makeResponseHead(status, headers, std::nullopt);
    if (!firstChunk.empty())
        bytes += this->isChunked ? encodeChunk(firstChunk) : firstChunk;
    this->enqueueWrite(std::move(bytes), std::move(onSent));
}

void ServerConnection::writeBodyChunk(std::string chunk, std::function<void()> onSent)
{
    assert(!chunk.empty());
    this->enqueueWrite(this->isChunked ? encodeChunk(chunk) : std::move(chunk), std::move(onSent));
}

void ServerConnection::writeLastChunk()
{
    // What still waits for the caller goes before the end.
    this->enqueueWrite(this->isChunked ? encodeLastChunk() : std::string(), [self = this->shared_from_this()] { self->finishResponse(); });
}

void ServerConnection::finishResponse()
{
    this->onCallerLeft = nullptr;
    if (!this->keepsAlive) {
        this->setResetOnClose(false);
        this->phase = Phase::Lingering;
        this->startTimer(lingerTime);
        boost::system::error_code ignored;
        this->socket.shutdown(asio::socket_base::shutdown_send, ignored);
        this->readFromSocket();
        return;
    }
    this->prepareNextRequest();
}

void ServerConnection::enqueueWrite(std::string bytes, std::function<void()> onSent)
{
    if (!this->socket.is_open())
        return;
    this->pendingWrites.push_back({ std::move(bytes), std::move(onSent) });
    if (this->pendingWrites.size() == 1)
        this->writeNextBuffer();
}

void ServerConnection::writeNextBuffer()
{
    auto self = this->shared_from_this();
    asio::async_write(this->socket, asio::buffer(this->pendingWrites.front().bytes), [self](const boost::system::error_code& error, size_t) {
        if (!self->socket.is_open())
            return;
        if (error) {
            self->handleDisconnect();
            return;
        }
        auto onSent = std::move(self->pendingWrites.front().onSent);
        self->pendingWrites.pop_front();
        if (!self->pendingWrites.empty())
            self->writeNextBuffer();
        if (onSent)
            onSent();
    });
}

} // namespace bilberry
