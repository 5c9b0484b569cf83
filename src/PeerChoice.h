/// Selects the peers that a process talks to, such that the cost per process does not grow with the fleet and few messages
/// cross between regions. All are pure functions of the inventory, the round and the assumed state of the VMs.
#pragma once

#include "Inventory.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bilberry {

/// Returns whether the VM with this row is worth contacting, which is the case while it is not suspect.
using IsUsable = std::function<bool(RowIndex vm)>;

/// In a fleet of up to this many VMs, each exchange covers the whole fleet. In a larger fleet it covers only the data centre
/// of the peer.
constexpr size_t maxFullExchangeVms = 256;
/// Number of processes per data centre that talk to other regions.
constexpr size_t relaysPerDataCentre = 4;
/// Number of processes per data centre that watch the configuration service.
constexpr size_t watchersPerDataCentre = 2;
/// Number of processes per data centre that try to watch while none of them can reach the service.
constexpr size_t maxWatcherCandidates = 6;

/// Returns whether an exchange covers only the data centre of the peer, whose VMs the peer knows best. Thread safe.
bool coversOneDataCentre(const Inventory&);

/// Returns the peers of one gossip round:
/// - In a fleet of up to maxFullExchangeVms VMs, a process chooses one peer of its own data centre and, in every eighth
///   round, also one of another data centre of the same region. In every second round, a relay chooses a peer of another
///   region instead of the one of its own data centre.
/// - In a larger fleet, which has no relays, a process chooses one peer of its own data centre and, in every third round,
///   also one of another data centre, by round robin.
/// Suspect peers are left out, except in every eighth round, so that recovered VMs are found, and when there are no other
/// peers. Thread safe.
std::vector<RowIndex> choosePeers(const Inventory&, RowIndex own, uint64_t round, const IsUsable&);

/// Returns the peers to which a process announces a document that it has just adopted: its successor in the ring of its
/// data centre's usable VMs, so that every usable VM gets the announcement from some other, and a few more that are chosen
/// pseudo-randomly by the seed. Thread safe.
std::vector<RowIndex> chooseAnnouncePeers(const Inventory&, RowIndex own, uint64_t seed, const IsUsable&);

/// A VM of the own data centre as a candidate for the watch.
struct WatchCandidate {
    std::string vm;
    bool lacksService = false; ///< The VM's process can't read the configuration service.
};

/// Returns the VMs that hold the watch. The candidates are the VMs that have reported recently. The first
/// maxWatcherCandidates of them in the order of rendezvous hashing are considered: the first watchersPerDataCentre that can
/// read the service hold the watch; if none can, all of these hold it and keep trying. Thread safe.
std::vector<std::string> chooseWatchers(const std::vector<WatchCandidate>&);

} // namespace bilberry
