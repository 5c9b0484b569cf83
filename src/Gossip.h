/// Exchange of reports between the system's processes, round by round; see docs/design/fleet.md.
#pragma once

#include "Types.h"

#include <string>

namespace bilberry {

class JsonRpcDispatcher;
struct Node;
struct VmStatus;

/// Adds the methods `exchange`, `report`, `announce` and `document` that peers call. Precondition: the node outlives
/// the dispatcher.
void addGossipMethods(JsonRpcDispatcher&, Node&);

/// Exchanges reports with one peer: digests both ways, then only the reports that differ. Documents that the peer holds
/// in a higher generation are queued for fetching. Returns whether the peer answered. Thread safe.
bool exchangeWithPeer(Node&, const std::string& address, const std::string& dataCentre);

/// Does one round: exchanges with a few peers of the configuration, and with the seed addresses of the settings while
/// there is no configuration. `round` picks the peers. Thread safe.
void runGossipRound(Node&, uint64_t round);

/// Puts this VM's own report into the fleet table: a new sequence number when its content has changed, else only a new
/// time. Thread safe.
void publishOwnStatus(Node&, VmStatus);

/// Whether a report differs from the one published before so that it must be told again. Changes that only tune
/// choices wait until `sinceLast` reaches `slowInterval`. Thread safe.
bool shouldPublishStatus(const VmStatus& held, const VmStatus& offered, Duration sinceLast, Duration slowInterval);

} // namespace bilberry
