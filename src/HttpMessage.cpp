#include "HttpMessage.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>

namespace bilberry {

static constexpr std::array<std::string_view, 11> hopByHopHeaders { "connection", "keep-alive", "transfer-encoding", "content-length",
    "host", "te", "trailer", "upgrade", "accept-encoding", "proxy-connection", "content-encoding" };

static bool isSameHeaderName(std::string_view first, std::string_view second)
{
    return absl::EqualsIgnoreCase(absl::string_view(first.data(), first.size()), absl::string_view(second.data(), second.size()));
}

std::string findHeader(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& [key, value] : headers) {
        if (isSameHeaderName(key, name))
            return value;
    }
    return {};
}

HttpHeaders retryAfterHeaders(Milliseconds delay)
{
    if (delay <= Milliseconds(0))
        return {};
    return { { "Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(delay).count()) } };
}

void setHeader(HttpHeaders& headers, std::string_view name, std::string value)
{
    auto hasSameName = [&](const auto& header) { return isSameHeaderName(header.first, name); };
    headers.erase(std::remove_if(headers.begin(), headers.end(), hasSameName), headers.end());
    headers.emplace_back(std::string(name), std::move(value));
}

static bool isHopByHopHeader(const std::string& name)
{
    // The HTTP library adds four request headers that describe the connection; they are not forwarded either.
    if (absl::StartsWithIgnoreCase(name, "x-bilberry-") || isSameHeaderName(name, "remote_addr") || isSameHeaderName(name, "remote_port") || isSameHeaderName(name, "local_addr") || isSameHeaderName(name, "local_port"))
        return true;
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(), [&](std::string_view hop) { return isSameHeaderName(hop, name); });
}

HttpHeaders withoutHopByHopHeaders(const HttpHeaders& headers)
{
    HttpHeaders kept;
    for (const auto& header : headers) {
        if (!isHopByHopHeader(header.first))
            kept.push_back(header);
    }
    return kept;
}

static constexpr std::array<std::string_view, 9> connectionHeaders { "connection", "keep-alive", "proxy-connection", "transfer-encoding",
    "content-length", "te", "trailer", "upgrade", "expect" };

HttpHeaders forwardableHeaders(const HttpHeaders& headers)
{
    std::string connectionOptions = absl::StrCat(",", absl::StrReplaceAll(absl::AsciiStrToLower(findHeader(headers, "Connection")), { { " ", "" }, { "\t", "" } }), ",");
    auto isConnectionHeader = [&](const std::string& name) {
        if (std::any_of(connectionHeaders.begin(), connectionHeaders.end(), [&](std::string_view other) { return isSameHeaderName(name, other); }))
            return true;
        return connectionOptions.size() > 2 && absl::StrContains(connectionOptions, absl::StrCat(",", absl::AsciiStrToLower(name), ","));
    };
    HttpHeaders kept;
    for (const auto& header : headers) {
        if (!isConnectionHeader(header.first))
            kept.push_back(header);
    }
    return kept;
}

HttpResponse makeJsonResponse(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

} // namespace bilberry
