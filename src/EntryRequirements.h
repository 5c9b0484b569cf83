/// What an entry requires of the endpoint for a request, from the configuration and from what it knows of the cluster. The choice of
/// an endpoint and its explanation to operators both start from it.
///
/// The functions are to be called by the loop's thread only; the results refer to the configuration and to the node's tables.
#pragma once

#include "BootClock.h"
#include "EndpointChoice.h"
#include "RequestRank.h"

#include <optional>
#include <string>

namespace bilberry {

struct ClientAccount;
struct EntryNode;
struct RouteRule;
struct ServiceSettings;

/// Whose settings apply to a request. The account is null for an anonymous one, the service where the configuration has none of
/// that name.
struct RequestSettings {
    const RouteRule& route;
    const ClientAccount* account = nullptr;
    const ServiceSettings* service = nullptr;
};

/// Chooses one of the route's services in proportion to the weights. Services without endpoints are left out; if no service remains,
/// the first one is chosen. `random` is uniform from 0 to 1.
std::string chooseService(const RouteRule&, const EndpointTable&, double random);
/// Returns what the configuration requires of the endpoint. updateRequirements() adds what changes with time.
EndpointRequirements requirementsOf(const EntryNode&, const RequestSettings&, const std::string& service, const std::string& model);
/// A request as far as its pace is concerned.
struct PacedRequest {
    uint32_t promptTokens = 0;
    TimePoint firstArrivedAt {}; ///< Arrival of the first try if the request was refused before.
    RequestRank rank;
};

/// Returns how fast the request must be answered, where the service's endpoints state their work time; no requirement elsewhere.
PaceRequirements paceOf(const EntryNode&, const RequestSettings&, const std::string& service, const PacedRequest&, TimePoint now);
/// Brings the requirements up to date with what the entry knows of the other entries and of the named versions.
void updateRequirements(const EntryNode&, EndpointRequirements&);

/// Returns when a request that is at the endpoint and hasn't begun there must be taken back.
BootTimePoint beginDeadline(const EntryNode&, const EndpointRow&, const EndpointRequirements&);
/// Returns the version that a request to the endpoint must state as its condition; nothing if it needs none.
std::optional<uint32_t> weightVersionToRequire(const EntryNode&, const EndpointRow&, const EndpointRequirements&);

} // namespace bilberry
