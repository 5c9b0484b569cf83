/// Exchange of reports and published documents between the system's processes.
#pragma once

#include "Types.h"

#include <string>

namespace bilberry {

class JsonRpcDispatcher;
struct Node;
struct VmStatus;

/// Adds the methods `exchange` and `document` that peers call. Precondition: the node outlives the dispatcher.
void addGossipMethods(JsonRpcDispatcher&, Node&);

/// Exchanges reports with one peer and fetches each document of which it holds a higher generation. Returns whether
/// the peer answered. Thread safe.
bool exchangeWithPeer(Node&, const std::string& address);

/// Does one round: exchanges with a few peers of the configuration, and with the configured seed addresses while
/// there is no configuration. `round` picks the peers. Thread safe.
void tickGossip(Node&, uint64_t round);

/// Puts this VM's own report into the fleet table with a new sequence number. Thread safe.
void publishOwnStatus(Node&, VmStatus);

} // namespace bilberry
