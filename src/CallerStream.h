/// Stream of the HTTP library over one accepted connection, with a limit on the length of a line: the library reads a line, such as
/// that of a header, of a chunk or of a trailer, to its end however long it is.
#pragma once

#include "Types.h"

#include <httplib.h>
#include <vector>

namespace bilberry {

/// Used by one thread. The socket is the caller's to close.
class CallerStream : public httplib::Stream {
public:
    /// `transferTimeout` bounds each wait for the other side.
    CallerStream(socket_t, Milliseconds transferTimeout);

    /// Waits for the first byte of a request. Returns false when none arrives in that time or the connection ends.
    bool waitForRequest(Milliseconds) const;

    // NOLINTBEGIN(readability-identifier-naming): names required by the library.
    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* data, size_t size) override;
    ssize_t write(const char* data, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return this->descriptor; }
    // NOLINTEND(readability-identifier-naming)

private:
    bool noteLine(const char* data, size_t size);

    const socket_t descriptor;
    const Milliseconds timeout;
    std::vector<char> buffer;
    size_t position = 0; ///< First byte of the buffer that hasn't been taken.
    size_t end = 0; ///< End of the bytes in the buffer.
    size_t lineBytes = 0; ///< Bytes of the line that is being read.
};

} // namespace bilberry
