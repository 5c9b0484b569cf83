/// Passes an endpoint's event stream on to the caller.
#pragma once

#include "HttpMessage.h"

#include <memory>

namespace bilberry {

class HttpExchange;

/// Whether the answer is a stream of server-sent events. Thread safe.
bool isEventStream(const HttpHeaders&);

/// Passes a stream on; one that breaks ends with an error event, so that it can't be taken for a whole one.
void attachStream(HttpResponse&, std::shared_ptr<HttpExchange>);

} // namespace bilberry
