/// The response by which an endpoint's process refuses a forwarded request.
#pragma once

#include "HttpMessage.h"
#include "Types.h"

namespace bilberry {

struct Node;

/// Counts the refusal and makes its response, which carries the attempt's identity back. Thread safe.
HttpResponse makeRefusalResponse(Node&, const HttpRequest&, RefusalReason);

} // namespace bilberry
