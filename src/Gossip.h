/// Gossip of VM reports between the system's processes: each exchanges reports with a few peers per round, so that all of
/// them learn the state of every VM; see docs/design/fleet.md.
#pragma once

#include "Types.h"

#include <string>

namespace bilberry {

class JsonRpcDispatcher;
struct Node;
struct VmStatus;

/// Adds the JSON-RPC methods `exchange`, `report`, `announce`, `document` and `offer`, which peers call. Precondition: the
/// node outlives the dispatcher.
void addGossipMethods(JsonRpcDispatcher&, Node&);

/// Exchanges reports with one peer (push-pull gossip): both sides send digests, then only the reports that differ.
/// Documents that the peer holds in a higher generation are queued for fetching. The digests cover the VMs of
/// `dataCentre`, or all VMs when it is empty. Returns whether the peer answered. Blocks for the calls. Thread safe.
bool exchangeWithPeer(Node&, const std::string& address, const std::string& dataCentre);

/// Runs one gossip round: exchanges with a few peers of the configuration or, while this process holds no configuration
/// that contains its own VM, with the seed addresses of the settings. With a configuration, it also drops expired rows and
/// sets the gauges. `round` is the round's number and selects the peers. Thread safe.
void runGossipRound(Node&, uint64_t round);

/// Puts this VM's own report into the fleet table. A report whose content needs publishing gets a new sequence number;
/// otherwise only the time and the load of the last one are refreshed. Thread safe.
void publishOwnStatus(Node&, VmStatus);

/// Returns whether a report differs enough from the one published before to be published under a new sequence number. Minor
/// changes, which only fine-tune the choice of endpoints, are held back until `sinceLast` reaches `minorChangeInterval`.
/// Thread safe.
bool shouldPublishStatus(const VmStatus& held, const VmStatus& offered, Duration sinceLast, Duration minorChangeInterval);

} // namespace bilberry
