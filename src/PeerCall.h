/// Calls between the system's processes: JSON-RPC over HTTP, with their bytes counted.
#pragma once

#include "Types.h"

#include <cstddef>
#include <string>

namespace bilberry {

struct Node;

/// Calls a method of a peer; gives its result, a JSON object as text, or an empty text when there was none.
/// Thread safe.
std::string callPeer(Node&, const std::string& address, const std::string& method, const std::string& parameters, Milliseconds timeout);

/// Counts the bytes of one control message. Thread safe.
void countControlBytes(Node&, bool isOutgoing, size_t bodyBytes);

} // namespace bilberry
