#define BOOST_TEST_MODULE HttpChannel
#include <boost/test/unit_test.hpp>

#include "ChannelPool.h"
#include "HttpCall.h"
#include "LoopHttpFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>

namespace asio = boost::asio;
using namespace bilberry;

namespace {

/// A server that writes the next of its fixed answers after each read, and may close the connection after the last.
struct ScriptedServer {
    ScriptedServer(EventLoop& loop, std::vector<std::string> answers, bool closes)
        : acceptor(loop, { asio::ip::make_address("127.0.0.1"), 0 })
        , socket(loop)
        , answers(std::move(answers))
        , closesAfterLast(closes)
    {
        this->acceptor.async_accept(this->socket, [this](const boost::system::error_code& error) {
            // If the server was destroyed, the handler is called with an error, and `this` is invalid.
            if (!error)
                this->serveNextRequest();
        });
    }

    int port() const { return this->acceptor.local_endpoint().port(); }

    void serveNextRequest()
    {
        this->socket.async_read_some(asio::buffer(this->buffer), [this](const boost::system::error_code& error, size_t) {
            if (error || this->nextAnswer >= this->answers.size())
                return;
            asio::write(this->socket, asio::buffer(this->answers[this->nextAnswer++]));
            if (this->closesAfterLast && this->nextAnswer == this->answers.size())
                this->socket.close();
            else
                this->serveNextRequest();
        });
    }

    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    std::vector<std::string> answers;
    bool closesAfterLast;
    size_t nextAnswer = 0;
    std::array<char, 4096> buffer {};
};

/// One exchange on a channel and what was received in it.
struct Exchange {
    std::optional<ChannelEnd> end;
    int status = 0;
    std::string body;
    int skipsLeft = 0;
    uint64_t maxBodyBytes = anyBodyBytes;

    void startExchange(const std::shared_ptr<HttpChannel>& channel, const HttpRequest& request)
    {
        ResponseHandlers handlers;
        handlers.onHead = [this](const ResponseHead& head) {
            if (this->skipsLeft-- > 0)
                return ResponseDisposition::Skip;
            this->status = head.status;
            return ResponseDisposition::Accept;
        };
        handlers.onBodyChunk = [this, channel](const std::string& chunk) {
            this->body += chunk;
            channel->resumeReading();
        };
        handlers.onEnd = [this](ChannelEnd outcome) { this->end = outcome; };
        channel->sendRequest(request, this->maxBodyBytes, std::move(handlers));
    }
};

HttpRequest makeGetRequest()
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/";
    request.headers = { { "Host", "h" } };
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(endsOfResponsesByTheirFraming)
{
    struct Row {
        const char* name;
        std::string bytes;
        bool closes;
        ChannelEnd end;
        bool isReusable;
    };
    const std::vector<Row> rows {
        { "length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false, ChannelEnd::Complete, true },
        { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false, ChannelEnd::Complete, true },
        { "until close", "HTTP/1.1 200 OK\r\n\r\nabc", true, ChannelEnd::Complete, false },
        { "close asked for", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", false, ChannelEnd::Complete, false },
        { "bytes beyond", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcdef", false, ChannelEnd::Complete, false },
        { "cut length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true, ChannelEnd::Lost, false },
        { "cut chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true, ChannelEnd::Lost, false },
        { "no answer", "", true, ChannelEnd::Lost, false },
        { "no HTTP", "what\r\n\r\n", false, ChannelEnd::Malformed, false },
    };
    for (const auto& row : rows) {
        EventLoop loop { 1 };
        ScriptedServer server(loop, { row.bytes }, row.closes);
        auto channel = std::make_shared<HttpChannel>(loop, Address { "127.0.0.1", server.port() }, ChannelTimeouts {});
        Exchange exchange;
        exchange.startExchange(channel, makeGetRequest());
        BOOST_TEST_CONTEXT(row.name)
        {
            runUntil(loop, [&] { return exchange.end.has_value(); });
            BOOST_TEST((*exchange.end == row.end));
            BOOST_TEST(channel->canReuse() == row.isReusable);
            if (row.end == ChannelEnd::Complete)
                BOOST_TEST(exchange.body == "abc");
        }
    }
}

// A late response to an earlier request is skipped; the right one follows on the same connection.
BOOST_AUTO_TEST_CASE(responsesToEarlierRequestsAreSkipped)
{
    EventLoop loop { 1 };
    ScriptedServer server(loop, { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrongHTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nright" }, false);
    auto channel = std::make_shared<HttpChannel>(loop, Address { "127.0.0.1", server.port() }, ChannelTimeouts {});
    Exchange exchange;
    exchange.skipsLeft = 1;
    exchange.startExchange(channel, makeGetRequest());
    runUntil(loop, [&] { return exchange.end.has_value(); });
    BOOST_TEST((*exchange.end == ChannelEnd::Complete));
    BOOST_TEST(exchange.status == 201);
    BOOST_TEST(exchange.body == "right");
    BOOST_TEST(!channel->canReuse());
}

BOOST_AUTO_TEST_CASE(addressesWithoutListenerAreNotSentTo)
{
    EventLoop loop { 1 };
    int port = 0;
    {
        ScriptedServer server(loop, {}, false);
        port = server.port();
    }
    auto channel = std::make_shared<HttpChannel>(loop, Address { "127.0.0.1", port }, ChannelTimeouts {});
    Exchange exchange;
    exchange.startExchange(channel, makeGetRequest());
    runUntil(loop, [&] { return exchange.end.has_value(); });
    BOOST_TEST((*exchange.end == ChannelEnd::NotSent));
}

BOOST_AUTO_TEST_CASE(keptConnectionsAreUsedAgainAndDroppedWhenTheyEnd)
{
    EventLoop loop { 1 };
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=5\r\n\r\n";
    ScriptedServer server(loop, { answer, answer, "unasked" }, true);
    ChannelPool pool(loop, ChannelTimeouts {});
    Address address { "127.0.0.1", server.port() };
    for (int i = 0; i < 2; ++i) {
        auto channel = pool.acquireChannel("e", address, Milliseconds(5000));
        Exchange exchange;
        exchange.startExchange(channel, makeGetRequest());
        runUntil(loop, [&] { return exchange.end.has_value(); });
        BOOST_TEST((channel->keepAliveTime() == Seconds(5)));
        pool.releaseChannel("e", channel);
    }
    BOOST_TEST(pool.createdCount() == 1u);
    BOOST_TEST(pool.idleCount() == 1u);
    // A connection that was idle for longer than the request allows isn't reused.
    auto fresh = pool.acquireChannel("e", address, Milliseconds(0));
    BOOST_TEST(pool.createdCount() == 2u);
    pool.closeIdleChannels("e");
    BOOST_TEST(pool.idleCount() == 0u);
}

BOOST_AUTO_TEST_CASE(callsEndInTime)
{
    EventLoop loop { 1 };
    ScriptedServer server(loop, {}, false);
    HttpCaller caller(loop, { "127.0.0.1", server.port() });
    std::optional<CallResult> result;
    caller.get("/", Milliseconds(60), [&](const CallResult& received) { result = received; });
    BOOST_TEST(caller.isBusy());
    runUntil(loop, [&] { return result.has_value(); });
    BOOST_TEST(result->hasTimedOut);
    BOOST_TEST(result->status == 0);
    BOOST_TEST(!caller.isBusy());
}

namespace {

/// A server that answers the first request with a beginning and then the same bytes without end, until the client closes.
struct EndlessServer {
    EndlessServer(EventLoop& loop, std::string beginning, const std::string& repeated)
        : acceptor(loop, { asio::ip::make_address("127.0.0.1"), 0 })
        , socket(loop)
        , beginning(std::move(beginning))
    {
        while (this->block.size() < blockBytes)
            this->block += repeated;
        this->acceptor.async_accept(this->socket, [this](const boost::system::error_code& error) {
            if (!error)
                this->socket.async_read_some(asio::buffer(this->buffer), [this](const boost::system::error_code& failure, size_t) { this->writeNext(failure, this->beginning); });
        });
    }

    void writeNext(const boost::system::error_code& error, const std::string& bytes)
    {
        this->isClosed = static_cast<bool>(error);
        if (error)
            return;
        this->sentBytes += bytes.size();
        asio::async_write(this->socket, asio::buffer(bytes), [this](const boost::system::error_code& failure, size_t) { this->writeNext(failure, this->block); });
    }

    static constexpr size_t blockBytes = 16 << 10;

    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    std::string beginning;
    std::string block;
    size_t sentBytes = 0;
    bool isClosed = false;
    std::array<char, 4096> buffer {};
};

} // namespace

// Bytes without end, in any part of a response, end the call in time: the connection is closed, no response is reported, and
// no more is read than the largest response that is accepted (and what fits into the sockets' buffers).
BOOST_AUTO_TEST_CASE(responsesWithoutEndAreGivenUp)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    struct Row {
        const char* name;
        std::string beginning;
        std::string repeated;
        bool endsByTimeout;
    };
    const std::vector<Row> rows {
        { "no HTTP", "x", "x", false },
        { "status line", "HTTP/1.1 200 ", "a", false },
        { "header line", head + "X-Long: ", "a", false },
        { "headers", head, "X-Again: 1\r\n", false },
        { "chunk extension", chunked + "1;", "a", false },
        { "chunk size", chunked, "0", false },
        { "trailer", chunked + "1\r\na\r\n0\r\nX-Long: ", "a", false },
        { "trailers", chunked + "1\r\na\r\n0\r\n", "X-Again: 1\r\n", false },
        { "chunks", chunked, "4\r\naaaa\r\n", false },
        { "body without length", head + "\r\n", "a", false },
        { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", true },
    };
    constexpr size_t maxBytes = 1 << 20;
    for (const auto& row : rows) {
        BOOST_TEST_CONTEXT(row.name)
        {
            EventLoop loop { 1 };
            EndlessServer server(loop, row.beginning, row.repeated);
            HttpCaller caller(loop, { "127.0.0.1", server.acceptor.local_endpoint().port() });
            caller.setMaxResponseBytes(maxBytes);
            std::optional<CallResult> result;
            auto timeout = row.endsByTimeout ? Milliseconds(300) : testTimeout / 2;
            caller.get("/", timeout, [&](const CallResult& received) { result = received; });
            runUntil(loop, [&] { return result.has_value() && server.isClosed; });
            BOOST_TEST(result->status == 0);
            BOOST_TEST(result->hasTimedOut == row.endsByTimeout);
            BOOST_TEST(result->body.size() <= maxBytes + 2 * EndlessServer::blockBytes);
            // The system buffers some megabytes of a loopback connection.
            if (!row.endsByTimeout)
                BOOST_TEST(server.sentBytes < maxBytes * 4 + (8 << 20));
        }
    }
}

// A length that a peer states and doesn't send ends its own call only: no memory is reserved for it.
BOOST_AUTO_TEST_CASE(statedLengthsThatDontFitIntoMemoryEndTheirCallOnly)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\nabc";
    struct Row {
        const char* name;
        uint64_t maxBodyBytes;
        ChannelEnd end;
    };
    const std::vector<Row> rows {
        { "below the limit", anyBodyBytes, ChannelEnd::Lost },
        { "beyond the limit", 1 << 20, ChannelEnd::Malformed },
    };
    for (const auto& row : rows) {
        EventLoop loop { 1 };
        ScriptedServer server(loop, { answer }, true);
        auto channel = std::make_shared<HttpChannel>(loop, Address { "127.0.0.1", server.port() }, ChannelTimeouts {});
        Exchange exchange;
        exchange.maxBodyBytes = row.maxBodyBytes;
        exchange.startExchange(channel, makeGetRequest());
        BOOST_TEST_CONTEXT(row.name)
        {
            runUntil(loop, [&] { return exchange.end.has_value(); });
            BOOST_TEST((*exchange.end == row.end));
            BOOST_TEST(exchange.body == (row.end == ChannelEnd::Lost ? "abc" : ""));
        }
    }
}

// The client for peers, the origin of weights, the store and engines applies its own limit to what is stated.
BOOST_AUTO_TEST_CASE(callsWhoseAnswerStatesAHugeLengthFailAtOnce)
{
    EventLoop loop { 1 };
    ScriptedServer server(loop, { "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\nabc" }, false);
    HttpCaller caller(loop, { "127.0.0.1", server.port() });
    std::optional<CallResult> result;
    caller.get("/", testTimeout, [&](const CallResult& received) { result = received; });
    runUntil(loop, [&] { return result.has_value(); });
    BOOST_TEST((result->end == ChannelEnd::Malformed));
    BOOST_TEST(!result->hasTimedOut);
    BOOST_TEST(result->status == 0);
}

// What is given up while its request is still being written reaches the server as a reset, not as an end after which it could
// go on with the bytes that it has.
BOOST_AUTO_TEST_CASE(givenUpExchangesAreReset)
{
    EventLoop loop { 1 };
    asio::ip::tcp::acceptor acceptor(loop, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::ip::tcp::socket accepted(loop);
    bool isAccepted = false;
    acceptor.async_accept(accepted, [&](const boost::system::error_code& error) { isAccepted = !error; });
    auto channel = std::make_shared<HttpChannel>(loop, Address { "127.0.0.1", acceptor.local_endpoint().port() }, ChannelTimeouts());
    Exchange exchange;
    HttpRequest request;
    request.method = "POST";
    request.path = "/";
    request.body = std::string(16 << 20, 'x');
    exchange.startExchange(channel, request);
    runUntil(loop, [&] { return isAccepted; });
    loop.restart();
    loop.run_for(Milliseconds(50));
    channel->close();
    boost::system::error_code error;
    std::vector<char> buffer(1 << 20);
    size_t received = 0;
    while (!error)
        received += accepted.read_some(asio::buffer(buffer), error);
    BOOST_TEST((error == asio::error::connection_reset));
    BOOST_TEST(received < request.body.size());
}

namespace {

/// What a server does after it has answered a request, without a length, whose body it hasn't read.
enum class AfterEarlyAnswer : uint8_t { Reset,
    EndAndReset,
    EndAndReadOn };

/// A server that answers as soon as it has read the first bytes of a request.
struct EarlyServer {
    EarlyServer(EventLoop& loop, AfterEarlyAnswer afterAnswer, Milliseconds delay)
        : acceptor(loop, asio::ip::tcp::v4())
        , socket(loop)
        , timer(loop)
        , afterAnswer(afterAnswer)
        , delay(delay)
    {
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
        this->acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
        this->acceptor.listen();
        this->acceptor.async_accept(this->socket, [this](const boost::system::error_code& error) {
            if (!error)
                this->socket.async_read_some(asio::buffer(this->buffer), [this](const boost::system::error_code& failure, size_t) { this->answerEarly(failure); });
        });
    }

    void answerEarly(const boost::system::error_code& error)
    {
        if (error)
            return;
        asio::write(this->socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nabc")));
        if (this->afterAnswer != AfterEarlyAnswer::Reset)
            this->socket.shutdown(asio::socket_base::shutdown_send);
        this->timer.expires_after(this->delay);
        this->timer.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled)
                this->goOn();
        });
    }

    void goOn()
    {
        if (this->afterAnswer == AfterEarlyAnswer::EndAndReadOn) {
            this->socket.async_read_some(asio::buffer(this->buffer), [this](const boost::system::error_code& error, size_t) {
                if (!error)
                    this->goOn();
            });
            return;
        }
        this->socket.set_option(asio::socket_base::linger(true, 0));
        this->socket.close();
    }

    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    LoopTimer timer;
    AfterEarlyAnswer afterAnswer;
    Milliseconds delay;
    std::array<char, 4096> buffer {};
};

} // namespace

// A reset while the request is being written may be reported to the write only. The answer of an engine, peer or store that has no
// length is whole only if its peer ends it in order and takes the whole request.
BOOST_AUTO_TEST_CASE(answersWithoutLengthThatAreResetDuringTheRequestAreLost)
{
    const std::vector<size_t> bodySizes { 64 << 10, 1 << 20, 6 << 20 };
    const std::vector<Milliseconds> delays { Milliseconds(0), Milliseconds(20) };
    for (auto afterAnswer : { AfterEarlyAnswer::Reset, AfterEarlyAnswer::EndAndReset, AfterEarlyAnswer::EndAndReadOn }) {
        for (size_t bodySize : bodySizes) {
            for (auto delay : delays) {
                BOOST_TEST_CONTEXT("after the answer " << int(afterAnswer) << ", " << bodySize << " bytes, " << delay.count() << " ms")
                {
                    EventLoop loop { 1 };
                    EarlyServer server(loop, afterAnswer, delay);
                    HttpCaller caller(loop, { "127.0.0.1", server.acceptor.local_endpoint().port() });
                    HttpRequest request = makeGetRequest();
                    request.method = "PUT";
                    request.body = std::string(bodySize, 'x');
                    std::optional<CallResult> result;
                    caller.sendRequest(request, testTimeout, [&](const CallResult& received) { result = received; });
                    runUntil(loop, [&] { return result.has_value(); });
                    bool isSound = afterAnswer == AfterEarlyAnswer::EndAndReadOn;
                    BOOST_TEST((result->end == (isSound ? ChannelEnd::Complete : ChannelEnd::Lost)));
                    BOOST_TEST(result->status == (isSound ? 200 : 0));
                    BOOST_TEST(!result->hasTimedOut);
                }
            }
        }
    }
}

namespace {

/// Sends the bytes; where the channel skips an answer, a sound one follows on the same connection.
Exchange receiveAnswers(const std::string& bytes, int skips, bool& isReusable)
{
    EventLoop loop { 1 };
    ScriptedServer server(loop, { bytes + (skips > 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright" : "") }, false);
    auto channel = std::make_shared<HttpChannel>(loop, Address { "127.0.0.1", server.port() }, ChannelTimeouts {});
    Exchange exchange;
    exchange.skipsLeft = skips;
    exchange.startExchange(channel, makeGetRequest());
    runUntil(loop, [&] { return exchange.end.has_value(); });
    isReusable = channel->canReuse();
    return exchange;
}

} // namespace

// A status below 100 is none, so that its answer neither counts nor is skipped as one to an earlier request, and the connection isn't
// used again.
BOOST_AUTO_TEST_CASE(answersWithAStatusBelow100AreMalformed)
{
    for (std::string status : { "000", "000 Broken", "001 OK", "099 OK", "0 OK", "20 OK", "2000 OK", "+20 OK", "-20 OK", "2x0 OK" }) {
        for (int skips : { 0, 1 }) {
            BOOST_TEST_CONTEXT(status << ", skips " << skips)
            {
                bool isReusable = false;
                auto exchange = receiveAnswers("HTTP/1.1 " + status + "\r\nContent-Length: 3\r\n\r\nabc", skips, isReusable);
                BOOST_TEST((*exchange.end == ChannelEnd::Malformed));
                BOOST_TEST(exchange.status == 0);
                BOOST_TEST(exchange.body == "");
                BOOST_TEST(!isReusable);
            }
        }
    }
}

// A line that begins with a blank or a tab is no header and doesn't go on with the one before it: not in a head, also of an interim
// answer, and not in trailers, however the bytes arrive. Such bytes in a body are its own.
BOOST_AUTO_TEST_CASE(answersWithFoldedLinesAreMalformed)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";
    struct Row {
        std::string bytes;
        bool isSound;
    };
    const std::vector<Row> rows {
        { head + "Content-Length: 3\r\n x\r\n\r\nabc", false },
        { head + "Content-Length: 3\r\n\tName: x\r\n\r\nabc", false },
        { head + "Content-Length:\r\n 3\r\n\r\nabc", false },
        { head + " x\r\nContent-Length: 3\r\n\r\nabc", false },
        { head + "Content-Length: 3\r\n \r\n\r\nabc", false },
        { head + "X: 1\r\n x\r\n" + chunks + "\r\n", false },
        { head + chunks + "X: 1\r\n x\r\n\r\n", false },
        { head + chunks + "X: 1\r\n\tx\r\n\r\n", false },
        { "HTTP/1.1 103 Early Hints\r\nX: 1\r\n x\r\n\r\n" + head + "Content-Length: 3\r\n\r\nabc", false },
        { head + "Content-Length: 6\r\n\r\n\r\n \n\tx", true },
        { head + "Transfer-Encoding: chunked\r\n\r\n3\r\n\r\n \r\n3\r\n\n\tx\r\n0\r\nX: 1\r\n\r\n", true },
        { "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + head + "Content-Length: 6\r\n\r\n\r\n \n\tx", true },
    };
    for (const auto& row : rows) {
        for (bool arrivesInBytes : { false, true }) {
            EventLoop loop { 1 };
            asio::ip::tcp::acceptor acceptor(loop, { asio::ip::make_address("127.0.0.1"), 0 });
            auto channel = std::make_shared<HttpChannel>(loop, Address { "127.0.0.1", acceptor.local_endpoint().port() }, ChannelTimeouts {});
            Exchange exchange;
            exchange.startExchange(channel, makeGetRequest());
            auto socket = acceptor.accept();
            socket.set_option(asio::ip::tcp::no_delay(true));
            size_t pieceBytes = arrivesInBytes ? 1 : row.bytes.size();
            for (size_t i = 0; i < row.bytes.size() && !exchange.end; i += pieceBytes) {
                asio::write(socket, asio::buffer(row.bytes.data() + i, pieceBytes));
                loop.restart();
                loop.run_for(Milliseconds(1));
            }
            BOOST_TEST_CONTEXT(row.bytes << (arrivesInBytes ? " byte by byte" : " at once"))
            {
                runUntil(loop, [&] { return exchange.end.has_value(); });
                BOOST_TEST((*exchange.end == (row.isSound ? ChannelEnd::Complete : ChannelEnd::Malformed)));
                if (row.isSound)
                    BOOST_TEST(exchange.body == "\r\n \n\tx");
            }
        }
    }
}
