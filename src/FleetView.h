/// Functions that combine the fleet table with the configuration's inventory: the membership state of a VM, the digest and
/// the reports that a gossip message carries, and the choice of watchers.
#pragma once

#include "ExchangeMessage.h"
#include "Membership.h"
#include "PeerChoice.h"

#include <string>
#include <vector>

namespace bilberry {

struct Node;

/// Returns the state of one VM, combined from all sources. Precondition: the configuration has the row `vm`. Thread safe.
MemberState memberState(const Node&, const Configuration&, RowIndex vm, TimePoint now);

/// Returns the names of the VMs that a digest covers: those of a data centre, or all when its name is empty. Thread safe.
std::vector<std::string> coveredVms(const Inventory&, const std::string& dataCentre);

/// Returns the digest of these VMs' reports; its entries are in the order of `vms`. Thread safe.
std::vector<DigestEntry> makeDigest(const Node&, const std::vector<std::string>& vms, TimePoint now);

/// Returns up to `limit` reports whose content changed within `maxAge` before `now`, latest change first. Thread safe.
std::vector<AgedStatus> recentRows(const Node&, TimePoint now, Duration maxAge, size_t limit);

/// Merges reports that a peer sent at about `sentAt` into the fleet table. Reports of VMs outside the configuration are
/// left out. If a report carries this VM's name and is ahead of this process's own reports, this process raises its
/// incarnation, so that its own reports supersede that one again. Thread safe.
void mergeRows(Node&, const std::vector<AgedStatus>&, TimePoint sentAt);

/// Updates the ages and loads of the reports that both sides hold in the same version from the other side's digest, which
/// was sent at about `sentAt`. Precondition: both digests have one entry for each of `vms`, in that order. Thread safe.
void mergeDigest(Node&, const std::vector<std::string>& vms, const std::vector<DigestEntry>& own, const std::vector<DigestEntry>& other, TimePoint sentAt);

/// Returns whether this process is one of those that watch the configuration service. Thread safe.
bool isWatcher(const Node&);

} // namespace bilberry
