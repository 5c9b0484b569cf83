/// Keeps an entry's routing table current and records what the entry itself has observed of the endpoints.
#pragma once

#include "Routing.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

struct Node;

/// Thread safe.
class Router {
public:
    /// Rebuilds the table from the node's current state. Entry calls it on each tick.
    void refreshTable(const Node&);
    /// The current table; null until there is a configuration.
    std::shared_ptr<const RoutingTable> table() const;
    /// Chooses an endpoint (see chooseEndpoint()) and counts a request to it, until endRequest().
    RoutingChoice selectEndpoint(const RoutingTable&, const RoutingTarget&, const std::vector<RowIndex>& excluded, uint64_t random);
    /// Counts a request to an endpoint that was chosen in another way.
    void beginRequest(const RoutingTable&, RowIndex vm);
    /// Ends the count of a request. Precondition: the request was counted with the same table.
    void endRequest(const RoutingTable&, RowIndex vm);
    /// Records the load that an endpoint stated in a response.
    void recordLoad(const RoutingTable&, RowIndex vm, uint32_t inProgress, uint32_t limit);
    /// Avoids an endpoint that refused, for a time that depends on the reason. If its data centre is out of service, avoids
    /// all endpoints of that data centre.
    void recordRefusal(const RoutingTable&, RowIndex vm, RefusalReason);

    /// Time since an endpoint in service was known to serve the target; Duration::max() when no such time is on record.
    Duration timeSinceAvailable(const RoutingTable&, const RoutingTarget&, TimePoint now) const;
    /// Whether nothing was heard from the endpoint for so long that it may be frozen or unreachable. Precondition: table()
    /// is not null.
    bool isEndpointSilent(const RoutingTable&, RowIndex vm) const;

private:
    EndpointObservation& observationOf(const RoutingTable&, RowIndex vm);
    void assignObservationIndexes(RoutingTable&);
    void recordAvailableTargets(const RoutingTable&, TimePoint now);
    void startRampUps(const RoutingTable&, TimePoint now);

    mutable std::mutex mutex;
    std::shared_ptr<const RoutingTable> currentTable;
    /// The key is the VM's name. A VM keeps its index when its row in the inventory changes.
    std::unordered_map<std::string, uint32_t> observationIndexByName;
    std::vector<EndpointObservation> observations; ///< The index is RoutingRow::observationIndex.
    /// Whether the endpoint had a fresh report at the last refresh; the index is that of `observations`.
    std::vector<bool> hadFreshReport;
    TimePoint firstRefreshAt {};
    std::map<std::pair<std::string, std::string>, TimePoint> lastAvailableAt; ///< The key holds the names of service and model.
};

} // namespace bilberry
