/// Which endpoints may own a key. Keys fall into a fixed number of slots, so that a changed configuration moves the
/// owner of a slot and never the slot of a key. Who holds a slot now is decided by leases (KeyLease.h).
#pragma once

#include "Configuration.h"
#include "Types.h"

#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

struct RoutingTable;

/// Slots of each service.
constexpr uint32_t keySlotCount = 64;
/// Voters of a service at most; a majority of them grants leases.
constexpr size_t maxKeyVoters = 5;
/// Longest Idempotency-Key that is taken, in bytes.
constexpr size_t maxKeyLength = 255;
/// Endpoints that an entry asks for one submission.
constexpr size_t maxOwnersAsked = 3;

/// The key as it is recorded: two client accounts or two services never share one. Thread safe.
std::string makeScopedKey(std::string_view service, std::string_view caller, std::string_view key);

/// Slot of a scoped key, below keySlotCount. Thread safe.
uint32_t findKeySlot(std::string_view scopedKey);

/// The endpoints of the service that may own the slot, the preferred one first: those that the configuration neither
/// takes out with their data centre nor removes. Precondition: the service exists. Thread safe.
std::vector<RowIndex> rankSlotOwners(const Configuration&, RowIndex service, uint32_t slot);

/// The endpoints that grant leases of the service's slots: at most maxKeyVoters, spread over the data centres. Voters
/// that are out or leaving stay, since their processes still answer. Thread safe.
std::vector<RowIndex> findKeyVoters(const Configuration&, RowIndex service);

/// The endpoint to send a key to, by what an entry knows: the preferred owner that reports, else the preferred one.
/// `tried` are VMs that were asked; noRow once enough were. Thread safe.
RowIndex chooseKeyOwner(const RoutingTable&, RowIndex service, std::string_view scopedKey, const std::vector<RowIndex>& tried);

/// Whether the service has requests that may run at most once. Thread safe.
bool hasUnrepeatableRequests(const Configuration&, RowIndex service);

} // namespace bilberry
