/// Finds out whether an address accepts connections, without sending anything.
#pragma once

#include "Address.h"
#include "EventLoop.h"
#include "Types.h"

#include <functional>
#include <string_view>

namespace bilberry {

enum class ProbeResult : uint8_t {
    Accepted, ///< Also when the connection was reset right after that.
    Refused, ///< The VM answered that nothing listens there.
    Unknown, ///< There was no answer in time, or another failure on the way.
};

/// Name of the result for logs and metrics. Thread safe.
std::string_view toText(ProbeResult);

using ProbeHandler = std::function<void(ProbeResult)>;

/// Opens a connection and closes it at once. The handler is called once, after this function has returned and within `timeout`.
/// Preconditions: the loop's thread calls it; `timeout` > 0.
void probeConnection(EventLoop&, const Address&, Milliseconds timeout, ProbeHandler);

} // namespace bilberry
