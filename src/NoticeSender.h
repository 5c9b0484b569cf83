/// Sends datagrams from an agent to entries.
#pragma once

#include "EventLoop.h"

#include <boost/asio/ip/udp.hpp>
#include <string>

namespace bilberry {

/// Used by the loop's thread only.
class NoticeSender {
public:
    /// `port` is that of all entries. Precondition: the loop outlives it.
    NoticeSender(EventLoop&, const std::string& ownIp, int port);

    /// Sends to the entry at that IP number; a datagram that can't be sent now is lost.
    void send(const std::string& bytes, const std::string& ip);

private:
    boost::asio::ip::udp::socket socket;
    std::string ownIp;
    int port;
};

} // namespace bilberry
