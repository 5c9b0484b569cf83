#include "CallerStream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace bilberry {

// Size of one read from the socket.
static constexpr size_t readBufferBytes = 4 << 10;
// Longest line. The library itself takes no header that is longer than 8 KiB.
static constexpr size_t maxLineBytes = 16 << 10;

CallerStream::CallerStream(socket_t descriptor, Milliseconds transferTimeout)
    : descriptor(descriptor)
    , timeout(transferTimeout)
    , buffer(readBufferBytes)
{
}

static bool waitFor(socket_t descriptor, short events, Milliseconds time)
{
    pollfd state { descriptor, events, 0 };
    int ready = 0;
    do {
        ready = ::poll(&state, 1, static_cast<int>(time.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0 && (state.revents & POLLNVAL) == 0;
}

bool CallerStream::waitForRequest(Milliseconds time) const
{
    return this->position < this->end || waitFor(this->descriptor, POLLIN, time);
}

bool CallerStream::is_readable() const
{
    return this->position < this->end || waitFor(this->descriptor, POLLIN, this->timeout);
}

bool CallerStream::is_writable() const
{
    return waitFor(this->descriptor, POLLOUT, this->timeout);
}

// The library reads lines byte by byte, and bodies in larger pieces.
bool CallerStream::noteLine(const char* data, size_t size)
{
    bool isOfLine = size == 1 && *data != '\n';
    this->lineBytes = isOfLine ? this->lineBytes + 1 : 0;
    return this->lineBytes <= maxLineBytes;
}

ssize_t CallerStream::read(char* data, size_t size)
{
    if (this->position == this->end) {
        if (!this->is_readable())
            return -1;
        ssize_t count = ::recv(this->descriptor, this->buffer.data(), this->buffer.size(), 0);
        if (count <= 0)
            return count;
        this->position = 0;
        this->end = static_cast<size_t>(count);
    }
    size_t taken = std::min(size, this->end - this->position);
    std::memcpy(data, this->buffer.data() + this->position, taken);
    this->position += taken;
    if (size == 1 && !this->noteLine(data, size))
        return -1;
    return static_cast<ssize_t>(taken);
}

ssize_t CallerStream::write(const char* data, size_t size)
{
    if (!this->is_writable())
        return -1;
    return ::send(this->descriptor, data, size, MSG_NOSIGNAL);
}

static void readAddress(const sockaddr_storage& address, std::string& ip, int& port)
{
    char text[INET6_ADDRSTRLEN] = {};
    if (address.ss_family == AF_INET) {
        const auto& own = reinterpret_cast<const sockaddr_in&>(address);
        ip = inet_ntop(AF_INET, &own.sin_addr, text, sizeof text) ? text : "";
        port = ntohs(own.sin_port);
    } else if (address.ss_family == AF_INET6) {
        const auto& own = reinterpret_cast<const sockaddr_in6&>(address);
        ip = inet_ntop(AF_INET6, &own.sin6_addr, text, sizeof text) ? text : "";
        port = ntohs(own.sin6_port);
    }
}

void CallerStream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address {};
    socklen_t size = sizeof address;
    if (::getpeername(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0)
        readAddress(address, ip, port);
}

void CallerStream::get_local_ip_and_port(std::string& ip, int& port) const
{
    sockaddr_storage address {};
    socklen_t size = sizeof address;
    if (::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0)
        readAddress(address, ip, port);
}

} // namespace bilberry
