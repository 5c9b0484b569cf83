#define BOOST_TEST_MODULE ConnectionProbe
#include <boost/test/unit_test.hpp>

#include "ConnectionProbe.h"
#include "LoopHttpFixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <optional>

namespace asio = boost::asio;
using namespace bilberry;

namespace {

ProbeResult probe(EventLoop& loop, const Address& address, Milliseconds timeout)
{
    std::optional<ProbeResult> result;
    probeConnection(loop, address, timeout, [&](ProbeResult received) { result = received; });
    BOOST_TEST(!result.has_value());
    runUntil(loop, [&] { return result.has_value(); });
    return *result;
}

} // namespace

BOOST_AUTO_TEST_CASE(listeningAndClosedPortsAreToldApart)
{
    EventLoop loop { 1 };
    auto acceptor = std::make_unique<asio::ip::tcp::acceptor>(loop, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Address address { "127.0.0.1", acceptor->local_endpoint().port() };
    BOOST_TEST((probe(loop, address, testTimeout) == ProbeResult::Accepted));
    acceptor.reset();
    BOOST_TEST((probe(loop, address, testTimeout) == ProbeResult::Refused));
    BOOST_TEST((probe(loop, { "no address", 80 }, testTimeout) == ProbeResult::Unknown));
}

// A VM that doesn't answer says nothing about its endpoint.
BOOST_AUTO_TEST_CASE(silenceIsNoRefusal)
{
    EventLoop loop { 1 };
    // The queue of connections of this port is full, so that the system drops further ones.
    asio::ip::tcp::acceptor acceptor(loop);
    acceptor.open(asio::ip::tcp::v4());
    acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    acceptor.listen(0);
    Address address { "127.0.0.1", acceptor.local_endpoint().port() };
    std::vector<asio::ip::tcp::socket> waiting;
    for (int i = 0; i < 4; ++i) {
        waiting.emplace_back(loop);
        waiting.back().async_connect(acceptor.local_endpoint(), [](const boost::system::error_code&) {});
    }
    BOOST_TEST((probe(loop, address, Milliseconds(100)) == ProbeResult::Unknown));
}
