#include "NoticeSender.h"

namespace asio = boost::asio;

namespace bilberry {

NoticeSender::NoticeSender(EventLoop& loop, const std::string& ownIp, int port)
    : socket(loop)
    , ownIp(ownIp)
    , port(port)
{
}

void NoticeSender::send(const std::string& bytes, const std::string& ip)
{
    boost::system::error_code error;
    if (!this->socket.is_open()) {
        asio::ip::udp::endpoint local(asio::ip::make_address(this->ownIp, error), 0);
        if (!error)
            this->socket.open(local.protocol(), error);
        if (!error)
            this->socket.bind(local, error);
        if (!error)
            this->socket.non_blocking(true, error);
    }
    asio::ip::udp::endpoint remote(asio::ip::make_address(ip, error), static_cast<uint16_t>(this->port));
    this->socket.send_to(asio::buffer(bytes), remote, 0, error);
}

} // namespace bilberry
