/// HTTP messages as plain data, so that other headers don't depend on the HTTP library.
#pragma once

#include "Types.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberry {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
    std::string method;
    std::string path; ///< Path with the query.
    HttpHeaders headers;
    std::string body;
    std::shared_ptr<const std::string> sharedBody {}; ///< Body that others hold as well; it is sent in place of `body` if it is set.
    std::function<bool()> isSenderGone {}; ///< Whether the sender has closed the connection. Empty if that can't be known.
};

/// Result of one read from a streamed body.
enum class BodyReadResult : uint8_t {
    More, ///< Bytes were read; more may follow.
    End, ///< The body is complete.
    Truncated, ///< The body ended before it was complete.
};

/// Reads the next chunk of a streamed body, and blocks until there is one. Used by one thread at a time.
using BodyReader = std::function<BodyReadResult(std::string& chunk)>;

/// A response to be sent. If `stream` is set, the body is `body` followed by what the reader returns. A truncated stream
/// closes the connection without the end of the body, so that the receiver notices.
struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
    BodyReader stream;
    std::function<void()> onFinished; ///< Called once when the stream was sent or its receiver has disconnected.
};

/// Value of the first header with this name, compared without regard to case; empty if there is none. Thread safe.
std::string findHeader(const HttpHeaders&, std::string_view name);

/// Sets a header and removes other headers with this name, compared without regard to case.
void setHeader(HttpHeaders&, std::string_view name, std::string value);

/// Returns the headers without the hop-by-hop ones (Connection, Transfer-Encoding, …), which concern one connection only,
/// and without this project's `X-Bilberry-` headers. Thread safe.
HttpHeaders withoutHopByHopHeaders(const HttpHeaders&);

/// Returns the headers that a proxy forwards: all but the hop-by-hop ones, those that `Connection` names, and the content
/// length, which the outgoing connection sets itself. Thread safe.
HttpHeaders forwardableHeaders(const HttpHeaders&);

/// Returns the header `Retry-After` in seconds with three decimals, or no header if the delay isn't positive. Thread safe.
HttpHeaders retryAfterHeaders(Milliseconds);

/// Returns a response with content type `application/json`.
HttpResponse makeJsonResponse(int status, std::string body);

} // namespace bilberry
