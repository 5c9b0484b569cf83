/// Response with which an endpoint's process refuses a forwarded request.
#pragma once

#include "HttpMessage.h"
#include "Types.h"

namespace bilberry {

struct Node;

/// Counts the refusal in the metrics and makes the response, which returns the attempt's id. Thread safe.
HttpResponse makeRefusalResponse(Node&, const HttpRequest&, RefusalReason);

} // namespace bilberry
