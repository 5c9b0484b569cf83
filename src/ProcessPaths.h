/// Routes HTTP requests of a bilberryd process by path, and decides which paths require a signed request.
#pragma once

#include "HttpMessage.h"

namespace bilberry {

struct Process;

/// Answers one request. Internal paths require a valid signature of one of the system's processes. Thread safe.
HttpResponse answerRequest(Process&, const HttpRequest&);

} // namespace bilberry
