#include "ServerConnection.h"

#include "ServerExchange.h"

#include <absl/strings/match.h>
#include <algorithm>
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
// Retry-After delay for a request that is refused because callers hold too many bytes.
static constexpr Milliseconds memoryRetryAfter { 1000 };
// Bytes that the strings and the tree node of one header field hold beside its text.
static constexpr size_t fieldBytes = 96;
// Time for which a connection lingers after its last response, so that the caller can read it before the socket is closed.
static constexpr Milliseconds lingerTime { 500 };

ServerConnection::ServerConnection(std::shared_ptr<AsyncHttpServer::State> server, asio::ip::tcp::socket socket)
    : server(std::move(server))
    , socket(std::move(socket))
    , timer(this->server->loop)
{
    this->server->connections.insert(this);
    boost::system::error_code ignored;
    auto remote = this->socket.remote_endpoint(ignored);
    this->holding = &this->server->memory->add(*this, remote.address().to_string(), this->server.get());
}

ServerConnection::~ServerConnection()
{
    this->server->connections.erase(this);
    if (this->holding)
        this->server->memory->remove(this->holding->number);
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

void ServerConnection::giveUp()
{
    if (this->phase == Phase::ReadingBody)
        this->refuseRequest(503, retryAfterHeaders(memoryRetryAfter));
    else
        this->handleDisconnect();
}

void ServerConnection::resumeAfterWait()
{
    if (this->phase == Phase::ReadingBody && this->socket.is_open())
        this->parseRequest();
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
    // The object itself lives until its last operation has been cancelled.
    this->server->connections.erase(this);
    this->server->memory->remove(this->holding->number);
    this->holding = nullptr;
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
    this->requestBytes = 0;
    this->noteHeld();
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
        if (!this->makeRoomForBody())
            return;
        size_t used = this->parser->put(this->buffer.data(), error);
        this->buffer.consume(used);
        if (error == http::error::need_more && !this->hasTooLongTrailer())
            break;
        if (error == http::error::need_more) {
            this->server->memory->noteCutOff(CutOffCause::Trailers);
            this->refuseRequest(431);
            return;
        }
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
    if (this->parser->is_done()) {
        this->dispatchRequest();
        return;
    }
    this->noteHeld();
    this->readFromSocket();
}

// What the parser leaves in the buffer after a head is the beginning of a chunk's header or of a trailer, which may have no end.
bool ServerConnection::hasTooLongTrailer() const
{
    return this->parser->is_header_done() && this->buffer.size() > this->server->limits.maxHeaderBytes;
}

// Makes room for the bytes in the buffer as bytes of the body, whose memory is at most twice what has arrived. Returns false if
// they have to wait.
bool ServerConnection::makeRoomForBody()
{
    if (!this->holding || !this->parser->is_header_done())
        return true;
    auto& body = this->parser->get().body();
    size_t needed = body.size() + this->buffer.size();
    auto statedLength = this->parser->content_length();
    size_t longest = statedLength ? static_cast<size_t>(std::min<uint64_t>(*statedLength, this->server->limits.maxBodyBytes)) : this->server->limits.maxBodyBytes;
    size_t capacity = std::min(longest, std::max(needed, 2 * body.capacity()));
    if (needed <= body.capacity() || capacity <= body.capacity())
        return true;
    if (!this->server->memory->mayHold(*this->holding, this->heldBytes() - body.capacity() + capacity))
        return false;
    // A string that grows by itself would take twice its memory, also beyond the stated length.
    std::string larger;
    larger.reserve(capacity);
    larger.append(body);
    body.swap(larger);
    this->noteHeld();
    return true;
}

size_t ServerConnection::heldBytes() const
{
    size_t bodyBytes = this->parser ? this->parser->get().body().capacity() : 0;
    return this->buffer.capacity() + bodyBytes + this->requestBytes + this->pendingBytes;
}

HoldingPhase ServerConnection::holdingPhase() const
{
    switch (this->phase) {
    case Phase::ReadingHeader:
        return HoldingPhase::ReadingHead;
    case Phase::ReadingBody:
        return HoldingPhase::ReadingBody;
    case Phase::Responding:
        return this->pendingWrites.empty() ? HoldingPhase::Running : HoldingPhase::Writing;
    case Phase::Idle:
    case Phase::Lingering:
        break;
    }
    return HoldingPhase::Idle;
}

void ServerConnection::noteHeld()
{
    if (!this->holding)
        return;
    auto held = this->holdingPhase();
    this->server->memory->setHeld(*this->holding, held, held == HoldingPhase::Idle ? 0 : this->heldBytes());
}

// Frees what was read of a request that isn't handled.
void ServerConnection::releaseRequest()
{
    this->parser.reset();
    if (!this->isReading) {
        this->buffer.clear();
        this->buffer.shrink_to_fit();
    }
    this->noteHeld();
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
    this->requestBytes = request.path.capacity() + request.body.capacity();
    for (const auto& [name, value] : request.headers)
        this->requestBytes += name.size() + value.size() + fieldBytes;
    this->noteHeld();
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
    this->releaseRequest();
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
        this->requestBytes = 0;
        this->noteHeld();
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
    this->pendingBytes += bytes.capacity();
    this->pendingWrites.push_back({ std::move(bytes), std::move(onSent) });
    this->noteHeld();
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
        self->pendingBytes -= self->pendingWrites.front().bytes.capacity();
        self->pendingWrites.pop_front();
        self->noteHeld();
        if (!self->pendingWrites.empty())
            self->writeNextBuffer();
        if (onSent)
            onSent();
    });
}

} // namespace bilberry
