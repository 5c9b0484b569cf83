/// IP:port addresses.
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace bilberry {

struct Address {
    std::string host; ///< IPv4 address in dotted form, or IPv6 without brackets.
    int port = 0;
};

/// Parses "IPv4:port" or "[IPv6]:port". Port 0 is allowed only for listening. Thread safe.
absl::StatusOr<Address> parseAddress(std::string_view text, bool allowPortZero = false);

/// The inverse of parseAddress(). Thread safe.
std::string toText(const Address&);

} // namespace bilberry
