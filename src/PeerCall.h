/// Calls between the processes of the system: JSON-RPC over HTTP. Their bytes are counted in a metric.
#pragma once

#include "Types.h"

#include <cstddef>
#include <string>

namespace bilberry {

struct Node;

/// Calls a method of a peer and returns its result, a JSON object as text. Returns an empty string when the call fails.
/// `parameters` is JSON text. Blocks until the peer answers or the call times out. Thread safe.
std::string callPeer(Node&, const std::string& address, const std::string& method, const std::string& parameters, Milliseconds timeout);

/// Adds the bytes of one control message to the metric: the body and an assumed size of the HTTP head. Thread safe.
void countControlBytes(Node&, bool isOutgoing, size_t bodyBytes);

} // namespace bilberry
