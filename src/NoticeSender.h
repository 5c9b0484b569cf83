/// Sends notices of version switches from an agent to entries, as UDP datagrams.
#pragma once

#include "EventLoop.h"

#include <boost/asio/ip/udp.hpp>
#include <string>

namespace bilberry {

/// Used by the loop's thread only.
class NoticeSender {
public:
    /// `port` is the port of all entries. Precondition: the loop outlives the sender.
    NoticeSender(EventLoop&, const std::string& ownIp, int port);

    /// Sends to the entry at that IP address. A datagram that can't be sent immediately is dropped, without an error.
    void send(const std::string& bytes, const std::string& ip);

private:
    boost::asio::ip::udp::socket socket;
    std::string ownIp;
    int port;
};

} // namespace bilberry
