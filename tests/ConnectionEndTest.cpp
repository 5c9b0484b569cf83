#define BOOST_TEST_MODULE ConnectionEnd
#include <boost/test/unit_test.hpp>

#include "HttpCall.h"
#include "HttpChannel.h"
#include "HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <thread>

namespace asio = boost::asio;
using namespace bilberry;

namespace {

/// How a server ends the connection after the last byte of its answer.
enum class ServerEnd : uint8_t {
    Orderly,
    Reset,
};

// Time after which the server ends the connection, so that its answer has been read.
constexpr Milliseconds timeToReadAnswer { 30 };
constexpr size_t maxBodyBytes = 1 << 20;

/// Answers one request with fixed bytes and then ends the connection.
struct OneAnswerServer {
    OneAnswerServer(std::string answer, ServerEnd serverEnd, Milliseconds timeToEnd = timeToReadAnswer)
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , thread([this, answer = std::move(answer), serverEnd, timeToEnd] {
            asio::ip::tcp::socket socket(this->context);
            this->acceptor.accept(socket);
            asio::streambuf request;
            asio::read_until(socket, request, "\r\n\r\n");
            asio::write(socket, asio::buffer(answer));
            std::this_thread::sleep_for(timeToEnd);
            if (serverEnd == ServerEnd::Reset)
                socket.set_option(asio::socket_base::linger(true, 0));
            socket.close();
        })
    {
    }

    ~OneAnswerServer() { this->thread.join(); }

    Address address() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

/// What a client reports of an answer.
struct Received {
    bool isComplete = false;
    std::string body;
};

HttpRequest getRequest()
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/";
    request.headers = { { "Host", "service.example" } };
    return request;
}

template <typename Condition>
void runUntil(EventLoop& loop, const Condition& condition)
{
    auto end = Clock::now() + Seconds(5);
    while (!condition() && Clock::now() < end) {
        loop.restart();
        loop.run_one_for(Milliseconds(20));
    }
    BOOST_REQUIRE(condition());
}

// The client for endpoints.
Received receiveWithChannel(const Address& address)
{
    EventLoop loop { 1 };
    auto channel = std::make_shared<HttpChannel>(loop, address, ChannelTimeouts {});
    Received received;
    std::optional<ChannelEnd> end;
    ResponseHandlers handlers;
    handlers.onHead = [](const ResponseHead&) { return ResponseDisposition::Accept; };
    handlers.onBodyChunk = [&](const std::string& chunk) {
        received.body += chunk;
        channel->resumeReading();
    };
    handlers.onEnd = [&](ChannelEnd outcome) { end = outcome; };
    channel->sendRequest(getRequest(), maxBodyBytes, std::move(handlers));
    runUntil(loop, [&] { return end.has_value(); });
    received.isComplete = *end == ChannelEnd::Complete;
    return received;
}

// The client for peers, the origin of weights, the store and engines.
Received receiveWithCaller(const Address& address)
{
    EventLoop loop { 1 };
    HttpCaller caller(loop, address);
    std::optional<CallResult> result;
    caller.get("/", Seconds(4), [&](const CallResult& answer) { result = answer; });
    runUntil(loop, [&] { return result.has_value(); });
    return { result->status == 200 && result->end == ChannelEnd::Complete, result->body };
}

// The other program's client, for answers that are read as a whole.
Received receiveWithClient(const Address& address)
{
    HttpClientPool pool;
    auto reply = pool.sendRequest(toText(address), getRequest(), HttpTimeouts(), maxBodyBytes);
    return { reply.failure == CallFailure::None, reply.body };
}

// The other program's client, for answers that are read chunk by chunk.
Received receiveWithExchange(const Address& address)
{
    HttpClientPool pool;
    HttpExchange exchange(pool, toText(address), getRequest(), HttpTimeouts());
    exchange.waitForHead();
    Received received;
    received.isComplete = exchange.readRemainingBody(received.body);
    return received;
}

struct Client {
    const char* name;
    Received (*receive)(const Address&);
};

const std::vector<Client> clients {
    { "channel", receiveWithChannel },
    { "caller", receiveWithCaller },
    { "client", receiveWithClient },
    { "exchange", receiveWithExchange },
};

} // namespace

BOOST_AUTO_TEST_CASE(anAnswerWithoutLengthIsCompleteOnlyAtAnOrderlyEnd)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string closing = head + "Connection: close\r\n";
    const std::string stream = head + "Content-Type: text/event-stream\r\n";
    struct Row {
        const char* name;
        std::string answer;
        ServerEnd end;
        bool isComplete;
    };
    const std::vector<Row> rows {
        { "no length, orderly", head + "\r\nabc", ServerEnd::Orderly, true },
        { "no length, reset", head + "\r\nabc", ServerEnd::Reset, false },
        { "no length, close announced, orderly", closing + "\r\nabc", ServerEnd::Orderly, true },
        { "no length, close announced, reset", closing + "\r\nabc", ServerEnd::Reset, false },
        { "no length, empty, orderly", head + "\r\n", ServerEnd::Orderly, true },
        { "no length, empty, reset", head + "\r\n", ServerEnd::Reset, false },
        { "stream, orderly", stream + "\r\ndata: a\n\n", ServerEnd::Orderly, true },
        { "stream, reset", stream + "\r\ndata: a\n\n", ServerEnd::Reset, false },
        { "length missed, orderly", head + "Content-Length: 9\r\n\r\nabc", ServerEnd::Orderly, false },
        { "length missed, reset", head + "Content-Length: 9\r\n\r\nabc", ServerEnd::Reset, false },
        { "huge length missed, orderly", head + "Content-Length: 999999999999\r\n\r\nabc", ServerEnd::Orderly, false },
        { "huge length missed, reset", head + "Content-Length: 999999999999\r\n\r\nabc", ServerEnd::Reset, false },
        { "chunks without end, orderly", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", ServerEnd::Orderly, false },
        { "chunks without end, reset", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", ServerEnd::Reset, false },
        { "head without end, orderly", head, ServerEnd::Orderly, false },
        { "head without end, reset", head, ServerEnd::Reset, false },
    };
    for (const auto& client : clients) {
        for (const auto& row : rows) {
            OneAnswerServer server(row.answer, row.end);
            auto received = client.receive(server.address());
            BOOST_TEST_CONTEXT(client.name << ", " << row.name)
            {
                BOOST_TEST(received.isComplete == row.isComplete);
                auto body = row.answer.substr(std::min(row.answer.size(), row.answer.find("\r\n\r\n") + 4));
                if (row.isComplete)
                    BOOST_TEST(received.body == body);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(anAnswerIsNotCompleteWhereverItsHeadBreaksOff)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Id: 7\r\n";
    const std::vector<std::string> heads { head + "Content-Length: 9\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\n", head + "Connection: close\r\n\r\n", head + "Content-Length: 0\r\n\r\n" };
    for (const auto& client : clients) {
        for (const auto& whole : heads) {
            for (size_t sent = 0; sent < whole.size(); ++sent) {
                for (auto end : { ServerEnd::Orderly, ServerEnd::Reset }) {
                    OneAnswerServer server(whole.substr(0, sent), end, Milliseconds(end == ServerEnd::Reset ? 2 : 0));
                    auto received = client.receive(server.address());
                    BOOST_TEST_CONTEXT(client.name << ", " << sent << " bytes of " << whole)
                    {
                        BOOST_TEST(!received.isComplete);
                        BOOST_TEST(received.body.empty());
                    }
                }
            }
        }
    }
}
