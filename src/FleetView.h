/// Reads of the fleet table in terms of one inventory: who is suspect, whose reports a message covers.
#pragma once

#include "ExchangeMessage.h"
#include "Membership.h"
#include "PeerChoice.h"

#include <string>
#include <vector>

namespace bilberry {

struct Node;

/// The state of one VM, joined from all sources. Precondition: the row exists. Thread safe.
MemberState memberState(const Node&, const Configuration&, RowIndex vm, TimePoint now);

/// Names of the VMs that a digest covers: those of a data centre, or all when the name is empty. Thread safe.
std::vector<std::string> coveredVms(const Inventory&, const std::string& dataCentre);

/// Summaries of these VMs' reports, by position. Thread safe.
std::vector<DigestEntry> makeDigest(const Node&, const std::vector<std::string>& vms, TimePoint now);

/// The reports that changed last, newest first, no older than `maxAge` since the change. Thread safe.
std::vector<AgedStatus> recentRows(const Node&, TimePoint now, Duration maxAge, size_t limit);

/// Takes over reports that a peer sent at about `sentAt`; those of VMs outside the configuration are left out. A
/// report on this VM itself that is ahead of its own raises its incarnation, so that its own reports count again.
/// Thread safe.
void mergeRows(Node&, const std::vector<AgedStatus>&, TimePoint sentAt);

/// Takes over ages and loads of the reports that both sides hold in the same version. Thread safe.
void mergeDigest(Node&, const std::vector<std::string>& vms, const std::vector<DigestEntry>& own, const std::vector<DigestEntry>& other, TimePoint sentAt);

/// Whether this process holds a watch on the configuration service. Thread safe.
bool isWatcher(const Node&);

} // namespace bilberry
