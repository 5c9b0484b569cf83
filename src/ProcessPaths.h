/// The paths that a process answers, and who may call them.
#pragma once

#include "HttpMessage.h"

namespace bilberry {

struct Process;

/// Answers one request. Internal paths are answered only to processes of the system. Thread safe.
HttpResponse answerRequest(Process&, const HttpRequest&);

} // namespace bilberry
