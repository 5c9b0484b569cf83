#define BOOST_TEST_MODULE LivenessChecks
#include <boost/test/unit_test.hpp>

#include "LivenessChecks.h"
#include "LoopHttpFixture.h"
#include "Metrics.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace asio = boost::asio;
using namespace bilberry;

namespace {

struct Fixture {
    Fixture()
        : acceptor(std::make_unique<asio::ip::tcp::acceptor>(this->loop, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)))
        , address { "127.0.0.1", this->acceptor->local_endpoint().port() }
    {
        this->acceptNext();
    }

    void acceptNext()
    {
        this->acceptor->async_accept([this](const boost::system::error_code& error, const asio::ip::tcp::socket&) {
            if (error)
                return;
            ++this->accepted;
            this->acceptNext();
        });
    }

    void check(const std::string& endpointId)
    {
        this->checks.check(endpointId, this->address, [this](ProbeResult result) { this->results.push_back(result); });
    }

    EventLoop loop { 1 };
    Metrics metrics;
    LivenessChecks checks { loop, metrics };
    std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
    Address address;
    int accepted = 0;
    std::vector<ProbeResult> results;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(answersThatEndTogetherShareAProbe, Fixture)
{
    for (int i = 0; i < 50; ++i)
        this->check("e1");
    this->check("e2");
    BOOST_TEST(this->results.empty());
    runUntil(this->loop, [this] { return this->results.size() == 51; });
    runUntil(this->loop, [this] { return this->accepted == 2; });
    for (auto result : this->results)
        BOOST_TEST((result == ProbeResult::Accepted));
}

// A process that is killed may close its port a moment after its connections.
BOOST_FIXTURE_TEST_CASE(aPortThatClosesSoonAfterTheAnswerIsNotTakenForALivingEndpoint, Fixture)
{
    this->check("e1");
    LoopTimer closing(this->loop, Milliseconds(20));
    closing.async_wait([this](const boost::system::error_code&) { this->acceptor->close(); });
    runUntil(this->loop, [this] { return !this->results.empty(); });
    BOOST_TEST((this->results.front() == ProbeResult::Refused));
    BOOST_TEST(this->accepted == 0);
}

// The probe for an earlier answer may come too soon after the end of a later one.
BOOST_FIXTURE_TEST_CASE(anAnswerThatEndsLaterIsCheckedByALaterProbe, Fixture)
{
    this->check("e1");
    LoopTimer later(this->loop, Milliseconds(40));
    later.async_wait([this](const boost::system::error_code&) { this->check("e1"); });
    runUntil(this->loop, [this] { return this->results.size() == 2; });
    runUntil(this->loop, [this] { return this->accepted == 2; });
}
