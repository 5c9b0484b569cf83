#include "Address.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

namespace bilberry {

static bool isIpAddress(const std::string& host)
{
    unsigned char buffer[sizeof(in6_addr)];
    return inet_pton(AF_INET, host.c_str(), buffer) == 1 || inet_pton(AF_INET6, host.c_str(), buffer) == 1;
}

absl::StatusOr<Address> parseAddress(std::string_view text, bool allowPortZero)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return absl::InvalidArgumentError(absl::StrCat("\"", std::string(text), "\" does not have the form IP:port"));
    Address address;
    address.host = std::string(text.substr(0, colon));
    if (address.host.size() > 2 && address.host.front() == '[' && address.host.back() == ']')
        address.host = address.host.substr(1, address.host.size() - 2);
    if (!isIpAddress(address.host))
        return absl::InvalidArgumentError(absl::StrCat("\"", std::string(text), "\" has no valid IP address"));
    if (!absl::SimpleAtoi(std::string(text.substr(colon + 1)), &address.port) || address.port < (allowPortZero ? 0 : 1) || address.port > 65535)
        return absl::InvalidArgumentError(absl::StrCat("\"", std::string(text), "\" has no valid port"));
    return address;
}

std::string toText(const Address& address)
{
    bool isV6 = address.host.find(':') != std::string::npos;
    return isV6 ? absl::StrCat("[", address.host, "]:", address.port) : absl::StrCat(address.host, ":", address.port);
}

} // namespace bilberry
