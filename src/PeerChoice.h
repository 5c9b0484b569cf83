/// Which peers a process talks to, so that the cost a process does not grow with the fleet and few messages cross
/// between regions. Pure functions of the inventory, the round and what is believed of the VMs.
#pragma once

#include "Inventory.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace bilberry {

/// Whether a VM is worth asking: not suspect. Called with its row.
using IsUsable = std::function<bool(RowIndex vm)>;

/// Up to this many VMs, each exchange covers the whole fleet; above, the data centre of the VM that is asked.
constexpr size_t maxFullExchangeVms = 256;
/// Processes of one data centre that talk to other regions.
constexpr size_t relaysPerDataCentre = 4;
/// Processes of one data centre that hold a watch.
constexpr size_t watchersPerDataCentre = 2;
/// Processes of one data centre that try to watch when all of these fail to reach the service.
constexpr size_t maxWatcherCandidates = 6;

/// Whether an exchange covers only the data centre of the VM that is asked, which knows most of it. Thread safe.
bool coversOneDataCentre(const Inventory&);

/// The peers of one round: one of the own data centre, in place of which relays take one of another region every second
/// round, and now and then one of another data centre of the region. Above `maxWholeExchange` VMs there are no relays: one
/// of the own data centre, and every third round one of each other data centre in turn. Suspect ones are left out, except
/// in every eighth round, which finds those that came back, and when there are no others. Thread safe.
std::vector<RowIndex> choosePeers(const Inventory&, RowIndex own, uint64_t round, const IsUsable&);

/// Whom a process tells at once of a document that it has just adopted: the next of its data centre in a ring, so that
/// nobody usable is left out, and some others by the seed. Thread safe.
std::vector<RowIndex> chooseAnnouncePeers(const Inventory&, RowIndex own, uint64_t seed, const IsUsable&);

/// A VM of the own data centre as a candidate for the watch.
struct WatchCandidate {
    std::string vm;
    bool lacksService = false;
};

/// The VMs that hold the watch among those heard lately: the first by rendezvous whose reads work, else the first few
/// of all, which go on trying. Thread safe.
std::vector<std::string> chooseWatchers(const std::vector<WatchCandidate>&);

} // namespace bilberry
