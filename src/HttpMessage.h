/// HTTP messages as plain data, so that no other header needs the HTTP library.
#pragma once

#include "Types.h"

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberry {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
    std::string method;
    std::string path; ///< With the query.
    HttpHeaders headers;
    std::string body;
    std::function<bool()> isSenderGone {}; ///< Whether its sender has closed the connection; empty: not known.
};

/// What came of reading one piece of a body.
enum class BodyReadResult : uint8_t {
    More, ///< A piece was read; there may be others.
    End, ///< The body came whole.
    Truncated, ///< The sender stopped before the end.
};

/// Reads the next piece of a streamed body; blocks until there is one. Used by one thread at a time.
using BodyReader = std::function<BodyReadResult(std::string& piece)>;

/// A response to be sent. With `stream` the body is what the reader gives, after `body`; a broken stream closes the
/// connection without the end of the body, so that the receiver sees it.
struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
    BodyReader stream;
    std::function<void()> onFinished; ///< Called once when the stream was sent or its receiver has gone.
};

/// Value of the first header of that name, without regard to case; empty when there is none. Thread safe.
std::string findHeader(const HttpHeaders&, std::string_view name);

/// Sets a header, replacing those of that name.
void setHeader(HttpHeaders&, std::string_view name, std::string value);

/// Headers without those that concern one connection only (Connection, Transfer-Encoding, …) and without the
/// project's own `X-Bilberry-` ones. Thread safe.
HttpHeaders withoutHopByHopHeaders(const HttpHeaders&);

/// Headers that a forwarding process passes on: without those that concern one connection only, those that `Connection`
/// names, and the length, which the connection states itself. Thread safe.
HttpHeaders forwardableHeaders(const HttpHeaders&);

/// A JSON response.
HttpResponse makeJsonResponse(int status, std::string body);

} // namespace bilberry
