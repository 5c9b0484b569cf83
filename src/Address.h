/// Network addresses of the form IP:port.
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberry {

struct Address {
    std::string host; ///< IPv4 address in dotted form, or IPv6 address without brackets.
    int port = 0;
};

/// Parses "IPv4:port" or "[IPv6]:port". Port 0 is an error unless `allowPortZero` is set, as it is for listening addresses
/// whose port the system chooses. Thread safe.
absl::StatusOr<Address> parseAddress(std::string_view text, bool allowPortZero = false);

/// Formats an address as parseAddress() reads it. Thread safe.
std::string toText(const Address&);

} // namespace bilberry
