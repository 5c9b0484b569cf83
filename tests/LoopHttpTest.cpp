#define BOOST_TEST_MODULE LoopHttp
#include <boost/test/unit_test.hpp>

#include "AsyncHttpServer.h"
#include "ConnectionMemory.h"
#include "LoopHttpFixture.h"
#include "ServerExchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace asio = boost::asio;
using namespace bilberry;

namespace {

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
        { "body too large by length, with bytes of it", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + std::string(900, 'x'), 413 },
        { "body too large by length, like a header", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\nX: y\r\n", 413 },
        { "body too large in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'x') + "\r\n", 413 },
        { "trailers too large", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + std::string(1500, 'x') + "\r\nY: " + std::string(1500, 'y'), 431 },
        { "chunk extension too large", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=" + std::string(3000, 'x'), 431 },
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

// A length that a caller states reserves no memory, also where large bodies are allowed.
BOOST_AUTO_TEST_CASE(aStatedLengthThatDoesntFitIntoMemoryEndsNoServer)
{
    ServerFixture fixture;
    ServerLimits limits;
    limits.maxBodyBytes = 1ULL << 40;
    fixture.server.setLimits(limits);
    RawCaller liar(fixture.loop, fixture.server.port());
    liar.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999999999\r\n\r\nabc");
    RawCaller caller(fixture.loop, fixture.server.port());
    caller.write("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(fixture.loop, [&] { return caller.hasReceived("X-Path: /1\r\n"); });
    BOOST_TEST(!liar.isClosed);
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

BOOST_FIXTURE_TEST_CASE(requestsOnTheirWayWhileAServerStopsAreAnswered, ServerFixture)
{
    const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    RawCaller accepted(this->loop, this->server.port());
    RawCaller withoutRequest(this->loop, this->server.port());
    runUntil(this->loop, [&] { return this->server.connectionCount() == 2; });
    RawCaller inBacklog(this->loop, this->server.port());
    accepted.write(request);
    inBacklog.write(request);
    this->server.startDraining();
    this->server.stopAccepting();
    this->server.closeIdleConnections();
    runUntil(this->loop, [&] { return accepted.isClosed && inBacklog.isClosed; });
    withoutRequest.write(request);
    runUntil(this->loop, [&] { return withoutRequest.isClosed; });
    BOOST_TEST(accepted.hasReceived("HTTP/1.1 200"));
    BOOST_TEST(inBacklog.hasReceived("HTTP/1.1 200"));
    BOOST_TEST(withoutRequest.hasReceived("HTTP/1.1 200"));
}

BOOST_FIXTURE_TEST_CASE(idleConnectionsOfAStoppingServerAreClosed, ServerFixture)
{
    RawCaller caller(this->loop, this->server.port());
    runUntil(this->loop, [&] { return this->server.connectionCount() == 1; });
    this->server.startDraining();
    this->server.stopAccepting();
    auto startedAt = Clock::now();
    runUntil(this->loop, [&] {
        this->server.closeIdleConnections();
        return caller.isClosed;
    });
    BOOST_TEST((Clock::now() - startedAt < Seconds(3)));
    BOOST_TEST(this->server.connectionCount() == 0U);
}

// Trailers within the limit on the header are read and left out.
BOOST_AUTO_TEST_CASE(shortTrailersAreAccepted)
{
    ServerFixture fixture;
    RawCaller caller(fixture.loop, fixture.server.port());
    caller.write("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(fixture.loop, [&] { return caller.hasReceived("X-Path: /2\r\n"); });
    BOOST_TEST(caller.hasReceived("hello"));
}

// Callers that stop just short of the end of large bodies: one of them is told that its request hasn't run, and the ordinary large
// request that waited for room is served.
BOOST_AUTO_TEST_CASE(theHeaviestUnreadRequestIsRefusedForOneThatWaits)
{
    ServerFixture fixture;
    auto memory = std::make_shared<ConnectionMemory>(fixture.loop);
    memory->setLimits({ 1000 << 10, 1000 << 10, 100 << 10, 64 << 10, Milliseconds(100) });
    size_t cutOffs = 0;
    memory->onCutOff([&](CutOffCause cause, size_t heldBytes) {
        BOOST_TEST((cause == CutOffCause::Memory));
        BOOST_TEST(heldBytes <= 1000U << 10);
        ++cutOffs;
    });
    fixture.server.shareMemory(memory);
    auto head = [](size_t bytes) { return "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"; };
    RawCaller heavy(fixture.loop, fixture.server.port());
    RawCaller light(fixture.loop, fixture.server.port());
    heavy.write(head(500 << 10) + std::string((500 << 10) - 1, 'x'));
    light.write(head(200 << 10) + std::string((200 << 10) - 1, 'x'));
    // Both are read before the next one comes.
    for (int i = 0; i < 300; ++i)
        fixture.loop.run_one_for(Milliseconds(1));
    RawCaller waiting(fixture.loop, fixture.server.port());
    waiting.write(head(400 << 10) + std::string(400 << 10, 'y'));
    RawCaller small(fixture.loop, fixture.server.port());
    small.write("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil(fixture.loop, [&] { return small.hasReceived("X-Path: /2\r\n"); });
    runUntil(fixture.loop, [&] { return waiting.hasReceived("X-Path: /1\r\n") && heavy.isClosed; });
    BOOST_TEST(heavy.received.substr(0, 12) == "HTTP/1.1 503");
    BOOST_TEST(heavy.hasReceived("Retry-After: "));
    BOOST_TEST(cutOffs == 1U);
    light.write("x");
    runUntil(fixture.loop, [&] { return light.hasReceived("X-Path: /1\r\n"); });
}
