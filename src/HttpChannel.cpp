#include "HttpChannel.h"

#include "HttpWire.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cassert>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <utility>

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace bilberry {

// Size of one read from the socket.
static constexpr size_t readBufferBytes = 16 << 10;
// Largest body that is sent together with its head in one buffer.
static constexpr size_t maxJoinedBodyBytes = 64 << 10;
// Largest head of a response, and largest header of a chunk.
static constexpr uint32_t maxResponseHeaderBytes = 32 << 10;
// Smallest status of HTTP. The library accepts all numbers of three digits.
static constexpr unsigned minStatus = 100;
// Interval of the checks whether the peer has acknowledged a request whose response has ended with the connection.
static constexpr Milliseconds acknowledgmentCheckInterval { 5 };

std::string_view toText(ChannelEnd end)
{
    switch (end) {
    case ChannelEnd::Complete:
        return "whole";
    case ChannelEnd::NotSent:
        return "not-sent";
    case ChannelEnd::Lost:
        return "lost";
    case ChannelEnd::Malformed:
        return "malformed";
    }
    return "lost";
}

struct HttpChannel::State {
    State(EventLoop& loop, const Address& address, const ChannelTimeouts& channelTimeouts)
        : address(address)
        , timeouts(channelTimeouts)
        , socket(loop)
        , timer(loop)
    {
    }

    Address address;
    std::string localIp; ///< Empty if the system chooses one.
    ChannelTimeouts timeouts;
    asio::ip::tcp::socket socket;
    LoopTimer timer;
    boost::beast::flat_buffer buffer;
    std::optional<http::response_parser<ReceivedBody>> parser;
    ResponseHandlers handlers;
    std::string outgoingHead;
    std::shared_ptr<const std::string> outgoingBody;
    bool isRunning = false;
    bool isReading = false;
    bool isWriting = false;
    bool hasWriteFailed = false;
    bool isPaused = false;
    bool hasHead = false;
    bool isSkipping = false;
    bool isReusable = true;
    bool hasEndedWithConnection = false;
    bool isHeadRequest = false;
    uint64_t maxBodyBytes = 0;
    int exchangeCount = 0;
    TimePoint idleSince {};
    TimePoint connectStartedAt {};
    Duration connectTime { 0 };
    Seconds keepAliveTime { 0 };
};

HttpChannel::HttpChannel(EventLoop& loop, const Address& address, const ChannelTimeouts& channelTimeouts)
    : state(std::make_unique<State>(loop, address, channelTimeouts))
{
}

HttpChannel::~HttpChannel() = default;

void HttpChannel::setConnectOptions(const std::string& localIp, Milliseconds connectTimeout)
{
    assert(this->state->exchangeCount == 0);
    this->state->localIp = localIp;
    this->state->timeouts.connectTimeout = connectTimeout;
}

void HttpChannel::sendRequest(const HttpRequest& request, uint64_t maxBodyBytes, ResponseHandlers responseHandlers)
{
    assert(!this->state->isRunning);
    this->state->maxBodyBytes = maxBodyBytes;
    this->state->handlers = std::move(responseHandlers);
    this->state->isRunning = true;
    this->state->isPaused = false;
    this->state->hasHead = false;
    this->state->isSkipping = false;
    ++this->state->exchangeCount;
    http::request<http::empty_body> head;
    head.version(11);
    head.method_string(request.method);
    head.target(request.path);
    writeFields(request.headers, head);
    const std::string& body = request.sharedBody ? *request.sharedBody : request.body;
    bool hasBody = !body.empty() || request.method == "POST" || request.method == "PUT";
    if (hasBody)
        head.set(http::field::content_length, std::to_string(body.size()));
    this->state->outgoingHead = serializeRequestHead(head);
    // A large body that others hold, too, isn't copied.
    bool isJoined = !request.sharedBody || body.size() <= maxJoinedBodyBytes;
    if (isJoined)
        this->state->outgoingHead += body;
    this->state->outgoingBody = isJoined ? nullptr : request.sharedBody;
    this->state->isHeadRequest = request.method == "HEAD";
    this->prepareParser();
    if (this->state->socket.is_open())
        this->writeRequest();
    else
        this->connect();
}

void HttpChannel::setSocketOptions()
{
    boost::system::error_code ignored;
    this->state->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->state->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    int fd = this->state->socket.native_handle();
    auto userTimeout = static_cast<unsigned>(this->state->timeouts.unacknowledgedTimeout.count());
    int probeInterval = 1; // Seconds; the smallest value that the system accepts.
    int probeCount = std::max<int>(1, static_cast<int>(this->state->timeouts.unacknowledgedTimeout.count() / 1000));
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof userTimeout);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probeInterval, sizeof probeInterval);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probeInterval, sizeof probeInterval);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probeCount, sizeof probeCount);
}

void HttpChannel::prepareParser()
{
    this->state->parser.emplace();
    // Each call parses one part of the response: lines or bytes of the body.
    this->state->parser->eager(false);
    this->state->parser->header_limit(maxResponseHeaderBytes);
    this->state->parser->body_limit(this->state->maxBodyBytes);
    this->state->parser->skip(this->state->isHeadRequest);
}

void HttpChannel::bindLocally(boost::system::error_code& error)
{
    auto localIp = asio::ip::make_address(this->state->localIp, error);
    if (!error)
        this->state->socket.bind({ localIp, 0 }, error);
}

void HttpChannel::connect()
{
    boost::system::error_code error;
    asio::ip::tcp::endpoint remote(asio::ip::make_address(this->state->address.host, error), static_cast<uint16_t>(this->state->address.port));
    if (!error)
        this->state->socket.open(remote.protocol(), error);
    if (!error && !this->state->localIp.empty())
        this->bindLocally(error);
    if (error) {
        // The end is reported asynchronously: the caller of sendRequest() isn't prepared for a callback before it returns.
        asio::post(this->state->socket.get_executor(), [self = this->shared_from_this()] { self->finishExchange(ChannelEnd::NotSent); });
        return;
    }
    this->setSocketOptions();
    this->state->timer.expires_after(this->state->timeouts.connectTimeout);
    this->state->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& cancelled) {
        if (hasFired(self->state->timer, cancelled) && self->state->isRunning)
            self->finishExchange(ChannelEnd::NotSent);
    });
    this->state->connectStartedAt = Clock::now();
    this->state->socket.async_connect(remote, [self = this->shared_from_this()](const boost::system::error_code& failure) {
        if (!self->state->isRunning)
            return;
        stopTimer(self->state->timer);
        self->state->connectTime = Clock::now() - self->state->connectStartedAt;
        if (failure)
            self->finishExchange(ChannelEnd::NotSent);
        else
            self->writeRequest();
    });
}

void HttpChannel::writeRequest()
{
    this->state->isWriting = true;
    auto handler = [self = this->shared_from_this(), body = this->state->outgoingBody](const boost::system::error_code& error, size_t) {
        self->state->isWriting = false;
        self->state->outgoingBody.reset();
        // The channel may stay idle for long.
        self->state->outgoingHead = {};
        self->handleWritten(error);
    };
    auto head = asio::buffer(std::as_const(this->state->outgoingHead));
    const auto& body = this->state->outgoingBody;
    if (body)
        asio::async_write(this->state->socket, std::array<asio::const_buffer, 2> { head, asio::buffer(*body) }, std::move(handler));
    else
        asio::async_write(this->state->socket, head, std::move(handler));
    this->readFromSocket();
}

// A response may have arrived before the write failed. If none did, the pending read reports that the connection ended.
void HttpChannel::handleWritten(const boost::system::error_code& error)
{
    if (error) {
        this->state->hasWriteFailed = true;
        this->state->isReusable = false;
    }
    if (this->state->isRunning && this->state->hasEndedWithConnection)
        this->finishResponseWithoutLength();
}

void HttpChannel::readFromSocket()
{
    if (this->state->isReading || !this->state->socket.is_open())
        return;
    this->state->isReading = true;
    this->state->socket.async_read_some(this->state->buffer.prepare(readBufferBytes), [self = this->shared_from_this()](const boost::system::error_code& error, size_t count) {
        self->state->isReading = false;
        self->handleRead(error, count);
    });
}

void HttpChannel::handleRead(const boost::system::error_code& error, size_t count)
{
    if (!this->state->socket.is_open())
        return;
    if (!this->state->isRunning) {
        // The peer closed the connection, or sent bytes that belong to no request.
        this->close();
        return;
    }
    if (error == asio::error::eof && this->state->hasHead && this->state->parser->need_eof()) {
        this->state->isReusable = false;
        this->state->hasEndedWithConnection = true;
        this->finishResponseWithoutLength();
        return;
    }
    if (error) {
        this->finishExchange(ChannelEnd::Lost);
        return;
    }
    this->state->buffer.commit(count);
    this->parseResponse();
}

// Whether the connection has failed since it was last asked, for instance by a reset. Nothing else reports a reset that comes after the
// peer's end.
static bool hasConnectionFailed(int fd)
{
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

// Whether the peer's system has yet to acknowledge bytes that were written to the connection.
static bool hasUnacknowledgedBytes(int fd)
{
    int count = 0;
    return ::ioctl(fd, SIOCOUTQ, &count) == 0 && count > 0;
}

// Decides on a response without a length once the end of the connection was read. If the connection is reset while the request is being
// written, the system may report that to the write only, and a plain end to the read. The response is complete if the peer took the
// whole request without a reset.
void HttpChannel::finishResponseWithoutLength()
{
    if (this->state->isWriting)
        return;
    int fd = this->state->socket.native_handle();
    bool isRequestTaken = !hasUnacknowledgedBytes(fd);
    if (this->state->hasWriteFailed || hasConnectionFailed(fd)) {
        this->finishExchange(ChannelEnd::Lost);
        return;
    }
    if (!isRequestTaken) {
        this->checkAcknowledgmentLater();
        return;
    }
    boost::system::error_code failure;
    this->state->parser->put_eof(failure);
    this->deliverBody();
}

void HttpChannel::checkAcknowledgmentLater()
{
    this->state->timer.expires_after(acknowledgmentCheckInterval);
    this->state->timer.async_wait([self = this->shared_from_this()](const boost::system::error_code& cancelled) {
        if (hasFired(self->state->timer, cancelled) && self->state->isRunning)
            self->finishResponseWithoutLength();
    });
}

// Whether one of the lines, which are of a head, a chunk's header or a trailer, begins with a blank or a tab. The library joins it to the
// header before it.
static bool hasFoldedLine(std::string_view lines)
{
    return lines.find("\n ") != std::string_view::npos || lines.find("\n\t") != std::string_view::npos;
}

// Parses the bytes that were read. Returns false if they are no valid response.
bool HttpChannel::parseReceivedBytes()
{
    auto& parser = *this->state->parser;
    auto& buffer = this->state->buffer;
    while (buffer.size() > 0 && !parser.is_done()) {
        boost::system::error_code error;
        size_t bodyBytes = parser.get().body().size();
        size_t used = parser.put(buffer.data(), error);
        bool isBody = parser.get().body().size() > bodyBytes;
        std::string_view usedBytes(static_cast<const char*>(buffer.data().data()), used);
        if (!isBody && hasFoldedLine(usedBytes))
            return false;
        buffer.consume(used);
        // What the parser leaves in the buffer is the beginning of a head, a chunk's header or a trailer, which may have no end.
        bool isTooLong = error == http::error::need_more && buffer.size() > maxResponseHeaderBytes;
        if (error == http::error::need_more && !isTooLong)
            break;
        if (error)
            return false;
    }
    return true;
}

void HttpChannel::parseResponse()
{
    if (!this->parseReceivedBytes()) {
        this->finishExchange(ChannelEnd::Malformed);
        return;
    }
    if (!this->state->hasHead && this->state->parser->is_header_done()) {
        unsigned status = this->state->parser->get().result_int();
        if (status >= 100 && status < 200) {
            this->prepareParser();
            this->parseResponse();
            return;
        }
        if (status < minStatus || this->statesTooLongBody()) {
            this->finishExchange(ChannelEnd::Malformed);
            return;
        }
        this->handleHead();
        if (!this->state->isRunning)
            return;
    }
    this->deliverBody();
}

// Whether the head states a longer body than is accepted. The library doesn't report it when bytes of the body follow the head at
// once.
bool HttpChannel::statesTooLongBody() const
{
    auto statedLength = this->state->parser->content_length();
    return statedLength && *statedLength > this->state->maxBodyBytes && !this->state->isHeadRequest;
}

void HttpChannel::handleHead()
{
    this->state->hasHead = true;
    const auto& message = this->state->parser->get();
    this->state->isReusable = this->state->isReusable && message.keep_alive() && !this->state->parser->need_eof();
    auto keepAliveValue = message[http::field::keep_alive];
    auto position = keepAliveValue.find("timeout=");
    int seconds = 0;
    if (position != boost::beast::string_view::npos) {
        auto digits = keepAliveValue.substr(position + 8);
        digits = digits.substr(0, digits.find_first_not_of("0123456789"));
        if (absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &seconds))
            this->state->keepAliveTime = Seconds(seconds);
    }
    ResponseHead head { static_cast<int>(message.result_int()), readFields(message) };
    auto handler = this->state->handlers.onHead;
    this->state->isSkipping = handler(head) == ResponseDisposition::Skip;
}

// Discards the bytes read of a skipped response; after its end, goes on with the next response.
void HttpChannel::skipResponse()
{
    this->state->isReusable = false;
    this->state->parser->get().body().clear();
    if (!this->state->parser->is_done()) {
        this->readFromSocket();
        return;
    }
    this->state->isSkipping = false;
    this->state->hasHead = false;
    this->prepareParser();
    this->parseResponse();
}

// Passes on the body bytes read so far, and reports the end once the response is complete.
void HttpChannel::deliverBody()
{
    if (!this->state->isRunning || this->state->isPaused)
        return;
    if (this->state->isSkipping) {
        this->skipResponse();
        return;
    }
    if (this->state->hasHead && !this->state->parser->get().body().empty()) {
        std::string chunk;
        chunk.swap(this->state->parser->get().body());
        this->state->isPaused = true;
        auto handler = this->state->handlers.onBodyChunk;
        handler(chunk);
        return;
    }
    if (this->state->hasHead && this->state->parser->is_done()) {
        this->finishExchange(ChannelEnd::Complete);
        return;
    }
    this->readFromSocket();
}

void HttpChannel::resumeReading()
{
    if (!this->state->isRunning)
        return;
    this->state->isPaused = false;
    this->deliverBody();
}

void HttpChannel::finishExchange(ChannelEnd outcome)
{
    if (!this->state->isRunning)
        return;
    this->state->isRunning = false;
    this->state->idleSince = Clock::now();
    auto onEnd = std::move(this->state->handlers.onEnd);
    this->state->handlers = {};
    // The connection's state is unknown if the request is still being written or if bytes follow the response.
    bool isClean = outcome == ChannelEnd::Complete && !this->state->isWriting && this->state->buffer.size() == 0 && this->state->isReusable;
    if (!isClean)
        this->close();
    else
        this->readFromSocket();
    onEnd(outcome);
}

void HttpChannel::close()
{
    // An exchange that is given up is reset, so that bytes of its request that haven't left yet never reach the peer.
    boost::system::error_code ignored;
    bool isGivenUp = (this->state->isRunning || this->state->isWriting) && this->state->socket.is_open();
    if (isGivenUp)
        this->state->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->closeInOrder();
}

void HttpChannel::closeInOrder()
{
    boost::system::error_code ignored;
    this->state->isRunning = false;
    this->state->isReusable = false;
    this->state->handlers = {};
    stopTimer(this->state->timer);
    this->state->socket.close(ignored);
}

bool HttpChannel::canReuse() const
{
    return this->isOpen() && !this->state->isRunning && this->state->isReusable;
}

bool HttpChannel::endedWithConnection() const
{
    return this->state->hasEndedWithConnection;
}

bool HttpChannel::isOpen() const
{
    return this->state->socket.is_open();
}

TimePoint HttpChannel::idleSince() const
{
    return this->state->idleSince;
}

Seconds HttpChannel::keepAliveTime() const
{
    return this->state->keepAliveTime;
}

bool HttpChannel::isFirstExchange() const
{
    return this->state->exchangeCount <= 1;
}

Duration HttpChannel::connectTime() const
{
    return this->state->connectTime;
}

} // namespace bilberry
