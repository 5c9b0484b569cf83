#define BOOST_TEST_MODULE LoopHttp
#include <boost/test/unit_test.hpp>

#include "AsyncHttpServer.h"
#include "ChannelPool.h"
#include "HttpCall.h"
#include "ServerExchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>

namespace asio = boost::asio;
using namespace bilberry;

namespace {

// Longest time that a test waits for a condition.
constexpr Milliseconds testTimeout { 8000 };

/// Runs the loop until the condition holds; fails the test if it doesn't hold in time.
void runUntil(EventLoop& loop, const std::function<bool()>& condition)
{
    auto end = Clock::now() + testTimeout;
    while (!condition() && Clock::now() < end) {
        loop.restart();
        loop.run_one_for(Milliseconds(20));
    }
    BOOST_REQUIRE(condition());
}

/// A client that writes raw bytes and collects what it receives.
struct RawCaller {
    RawCaller(EventLoop& loop, int port)
        : loop(loop)
        , socket(loop)
    {
        this->socket.connect({ asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(port) });
        this->readFromSocket();
    }

    void write(const std::string& bytes) { asio::write(this->socket, asio::buffer(bytes)); }

    void readFromSocket()
    {
        this->socket.async_read_some(asio::buffer(this->buffer), [this](const boost::system::error_code& error, size_t count) {
            this->received.append(this->buffer.data(), count);
            this->isClosed = static_cast<bool>(error);
            if (!error)
                this->readFromSocket();
        });
    }

    bool hasReceived(const std::string& text) const { return this->received.find(text) != std::string::npos; }

    EventLoop& loop;
    asio::ip::tcp::socket socket;
    std::array<char, 4096> buffer {};
    std::string received;
    bool isClosed = false;
};

struct ServerFixture {
    ServerFixture()
        : server(loop, [this](const std::shared_ptr<ServerExchange>& exchange) { this->handler(exchange); })
    {
        BOOST_REQUIRE(this->server.listen({ "127.0.0.1", 0 }).ok());
    }

    EventLoop loop { 1 };
    std::function<void(const std::shared_ptr<ServerExchange>&)> handler = [](const std::shared_ptr<ServerExchange>& exchange) {
        exchange->sendResponse(200, { { "X-Path", exchange->request().path } }, exchange->request().body);
    };
    AsyncHttpServer server;
};

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
        channel->sendRequest(request, std::move(handlers));
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

BOOST_AUTO_TEST_CASE(malformedOversizedAndSlowRequestsAreRejected)
{
    struct Row {
        const char* name;
        std::string bytes;
        int status;
    };
    const std::vector<Row> rows {
        { "header too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x') + "\r\n\r\n", 431 },
        { "body too large by length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", 413 },
        { "body too large in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'x') + "\r\n", 413 },
        { "slow header", "GET / HTTP/1.1\r\nHos", 408 },
        { "slow body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", 408 },
        { "two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400 },
        { "length and chunks", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "other coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400 },
        { "two codings", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400 },
        { "no host", "GET / HTTP/1.1\r\n\r\n", 400 },
        { "two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400 },
        { "bad chunk size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400 },
        { "no HTTP", "hello\r\n\r\n", 400 },
    };
    for (const auto& row : rows) {
        ServerFixture fixture;
        bool isHandled = false;
        fixture.handler = [&](const std::shared_ptr<ServerExchange>& exchange) {
            isHandled = true;
            exchange->sendResponse(200, {}, {});
        };
        fixture.server.setLimits({ 2000, 1000, Milliseconds(80), Milliseconds(80), Milliseconds(5000), 10 });
        RawCaller caller(fixture.loop, fixture.server.port());
        BOOST_TEST_CONTEXT(row.name)
        {
            caller.write(row.bytes);
            runUntil(fixture.loop, [&] { return caller.isClosed; });
            BOOST_TEST(caller.received.substr(0, 12) == "HTTP/1.1 " + std::to_string(row.status));
            BOOST_TEST(!isHandled);
        }
    }
}

BOOST_AUTO_TEST_CASE(severalRequestsOnOneConnection)
{
    ServerFixture fixture;
    RawCaller caller(fixture.loop, fixture.server.port());
    caller.write("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcPOST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\nHEAD /3 HTTP/1.1\r\nHost: h\r\n\r\nGET /4 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    runUntil(fixture.loop, [&] { return caller.isClosed; });
    BOOST_TEST(caller.hasReceived("X-Path: /1\r\n"));
    BOOST_TEST(caller.hasReceived("\r\n\r\nabcHTTP"));
    BOOST_TEST(caller.hasReceived("\r\n\r\ndeHTTP"));
    BOOST_TEST(caller.hasReceived("X-Path: /3\r\n"));
    BOOST_TEST(caller.hasReceived("X-Path: /4\r\n"));
    BOOST_TEST(fixture.server.connectionCount() <= 1u);
}

BOOST_AUTO_TEST_CASE(idleConnectionsAreClosedAfterTheirTime)
{
    ServerFixture fixture;
    fixture.server.setLimits({ 2000, 1000, Milliseconds(1000), Milliseconds(1000), Milliseconds(60), 10 });
    RawCaller caller(fixture.loop, fixture.server.port());
    runUntil(fixture.loop, [&] { return caller.isClosed; });
    BOOST_TEST(caller.received.empty());
}

BOOST_AUTO_TEST_CASE(callerDisconnectsAreReported)
{
    ServerFixture fixture;
    bool hasLeft = false;
    std::shared_ptr<ServerExchange> held;
    fixture.handler = [&](const std::shared_ptr<ServerExchange>& exchange) {
        held = exchange;
        exchange->onCallerLeft([&] { hasLeft = true; });
    };
    RawCaller caller(fixture.loop, fixture.server.port());
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(fixture.loop, [&] { return held != nullptr; });
    caller.socket.close();
    runUntil(fixture.loop, [&] { return hasLeft; });
    held->sendResponse(200, {}, "late");
}

// A streamed response that is aborted must not look complete: only a finished one has the last chunk.
BOOST_AUTO_TEST_CASE(abortedResponsesDontLookComplete)
{
    for (bool isCut : { true, false }) {
        ServerFixture fixture;
        fixture.handler = [&](const std::shared_ptr<ServerExchange>& exchange) {
            exchange->startResponse(200, {}, "first", [exchange, isCut] {
                if (isCut)
                    exchange->abortResponse();
                else
                    exchange->finishResponse();
            });
        };
        RawCaller caller(fixture.loop, fixture.server.port());
        caller.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        runUntil(fixture.loop, [&] { return caller.isClosed; });
        BOOST_TEST(caller.hasReceived("0\r\n\r\n") == !isCut);
    }
}

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
