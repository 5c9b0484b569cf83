/// The JSON-RPC method `status`: what one process knows and does now, for the operators' command line.
#pragma once

#include <cstdint>
#include <functional>

namespace bilberry {

class JsonRpcDispatcher;
struct Node;

/// Adds the method. `inProgress` gives the requests in progress; it must be thread safe. Precondition: the node and
/// what `inProgress` uses outlive the dispatcher.
void addStatusMethod(JsonRpcDispatcher&, Node&, std::function<uint32_t()> inProgress);

} // namespace bilberry
