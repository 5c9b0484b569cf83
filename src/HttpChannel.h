/// HTTP/1.1 client connection on the event loop, for one exchange at a time.
#pragma once

#include "Address.h"
#include "EventLoop.h"
#include "HttpMessage.h"
#include "Types.h"

#include <memory>

namespace bilberry {

/// How an exchange on a channel ended.
enum class ChannelEnd : uint8_t {
    Complete, ///< The response came to its end.
    NotSent, ///< No connection was made: no byte of the request went out.
    Lost, ///< The connection ended before the response did; the request may have run.
    Malformed, ///< What came is no response; the request may have run.
};

/// Name for logs and metrics. Thread safe.
std::string_view toText(ChannelEnd);

struct ResponseHead {
    int status = 0;
    HttpHeaders headers;
};

/// What becomes of a response whose head was read.
enum class ResponseDisposition : uint8_t {
    Accept,
    Skip, ///< It belongs to an earlier request: the next one on the connection is awaited.
};

/// What the user of a channel is told about one exchange.
struct ResponseHandlers {
    std::function<ResponseDisposition(const ResponseHead&)> onHead;
    /// A piece of the body; the next one is read only after readOn().
    std::function<void(const std::string& piece)> onBodyChunk;
    /// Called once, last. The channel may be used again only when it says so by canReuse().
    std::function<void(ChannelEnd)> onEnd;
};

/// Times of a channel.
struct ChannelTimeouts {
    Milliseconds connectTimeout { 1000 };
    Milliseconds unacknowledgedTimeout { 2000 }; ///< Unacknowledged bytes or probes for that long end the connection.
};

/// Used by the loop's thread only; kept alive by its pending operations. A channel without an exchange that gets bytes, or
/// whose other side closes it, ends by itself.
class HttpChannel : public std::enable_shared_from_this<HttpChannel> {
public:
    /// Precondition: the loop outlives the channel. Held by a shared pointer.
    HttpChannel(EventLoop&, const Address&, const ChannelTimeouts&);
    ~HttpChannel();
    HttpChannel(const HttpChannel&) = delete;
    HttpChannel& operator=(const HttpChannel&) = delete;

    /// Sends a request, after connecting where that is still to be done. Preconditions: no exchange runs; isOpen() or new.
    void sendRequest(const HttpRequest&, ResponseHandlers);
    /// Lets the next piece of the body be read. Precondition: called after onPiece.
    void resumeReading();
    /// Ends the connection at once; no handler is called any more.
    void close();
    /// Whether another exchange can follow: whole response, kept alive, and nothing unexpected received.
    bool canReuse() const;
    bool isOpen() const;
    /// When the last exchange ended; the default value before that.
    TimePoint idleSince() const;
    /// Time for which the other side keeps an idle connection; zero when it didn't say.
    Seconds keepAliveTime() const;
    /// Whether no exchange was finished on this connection yet.
    bool isFirstExchange() const;

private:
    struct State;

    void setSocketOptions();
    void connect();
    void writeRequest();
    void readFromSocket();
    void handleRead(const boost::system::error_code&, size_t count);
    void prepareParser();
    void parseResponse();
    void deliverBody();
    void handleHead();
    void skipResponse();
    void finishExchange(ChannelEnd);

    std::unique_ptr<State> state;
};

} // namespace bilberry
