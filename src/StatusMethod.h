/// The JSON-RPC method `status`, through which the operators' command line reads the state of one process.
#pragma once

#include <cstdint>
#include <functional>

namespace bilberry {

class JsonRpcDispatcher;
struct Node;

/// Adds the method to the dispatcher. `inProgress` returns the number of requests in progress and must be thread safe.
/// Precondition: the node and everything that `inProgress` uses outlive the dispatcher.
void addStatusMethod(JsonRpcDispatcher&, Node&, std::function<uint32_t()> inProgress);

} // namespace bilberry
