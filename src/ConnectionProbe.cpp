#include "ConnectionProbe.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <utility>

namespace asio = boost::asio;

namespace bilberry {

namespace {

/// One probe; its pending operations keep it alive.
struct Probe {
    Probe(EventLoop& loop, ProbeHandler handler)
        : socket(loop)
        , timer(loop)
        , handler(std::move(handler))
    {
    }

    void finish(ProbeResult result)
    {
        if (!this->handler)
            return;
        boost::system::error_code ignored;
        this->socket.close(ignored);
        stopTimer(this->timer);
        auto handler = std::exchange(this->handler, nullptr);
        handler(result);
    }

    asio::ip::tcp::socket socket;
    LoopTimer timer;
    ProbeHandler handler;
};

} // namespace

std::string_view toText(ProbeResult result)
{
    switch (result) {
    case ProbeResult::Accepted:
        return "accepted";
    case ProbeResult::Refused:
        return "refused";
    case ProbeResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

void probeConnection(EventLoop& loop, const Address& address, Milliseconds timeout, ProbeHandler handler)
{
    auto probe = std::make_shared<Probe>(loop, std::move(handler));
    boost::system::error_code error;
    auto ip = asio::ip::make_address(address.host, error);
    if (error) {
        asio::post(loop, [probe] { probe->finish(ProbeResult::Unknown); });
        return;
    }
    probe->timer.expires_after(timeout);
    probe->timer.async_wait([probe](const boost::system::error_code& cancelled) {
        if (hasFired(probe->timer, cancelled))
            probe->finish(ProbeResult::Unknown);
    });
    probe->socket.async_connect({ ip, static_cast<uint16_t>(address.port) }, [probe](const boost::system::error_code& failure) {
        // A connection that is reset or closed at once has been accepted before.
        bool isAccepted = !failure || failure == asio::error::connection_reset || failure == asio::error::broken_pipe;
        bool isRefused = failure == asio::error::connection_refused;
        probe->finish(isAccepted ? ProbeResult::Accepted : isRefused ? ProbeResult::Refused
                                                                     : ProbeResult::Unknown);
    });
}

} // namespace bilberry
