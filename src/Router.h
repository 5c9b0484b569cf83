/// Keeps an entry's routing table current and holds what it has seen itself of the endpoints.
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
    /// Makes the table anew from what the node knows. Call each tick.
    void refreshTable(const Node&);
    /// Null until there is a configuration.
    std::shared_ptr<const RoutingTable> table() const;
    /// Chooses an endpoint (see chooseEndpoint()) and counts a request to it. A choice is taken back by release().
    RoutingChoice selectEndpoint(const RoutingTable&, const RoutingTarget&, const std::vector<RowIndex>& excluded, uint64_t random);
    /// Counts a request to an endpoint that was chosen in another way.
    void beginRequest(const RoutingTable&, RowIndex vm);
    /// Precondition: the endpoint was counted with the same table.
    void endRequest(const RoutingTable&, RowIndex vm);
    /// Takes over the load that an endpoint stated in an answer.
    void recordLoad(const RoutingTable&, RowIndex vm, uint32_t inProgress, uint32_t limit);
    /// Avoids an endpoint that refused, for a time that depends on the reason; for one whose data centre is out, all
    /// endpoints of that data centre.
    void recordRefusal(const RoutingTable&, RowIndex vm, RefusalReason);

    /// Time since an endpoint in service was known to serve the target; the longest duration when none ever was.
    Duration timeSinceAvailable(const RoutingTable&, const RoutingTarget&, TimePoint now) const;
    /// Whether nothing was heard of the endpoint for so long that it may be frozen or cut off.
    bool isEndpointSilent(const RoutingTable&, RowIndex vm) const;

private:
    EndpointObservation& evidenceOf(const RoutingTable&, RowIndex vm);
    void assignSlots(RoutingTable&);
    void recordAvailableTargets(const RoutingTable&, TimePoint now);
    void startRampUps(const RoutingTable&, TimePoint now);

    mutable std::mutex mutex;
    std::shared_ptr<const RoutingTable> currentTable;
    std::unordered_map<std::string, uint32_t> slotByName; ///< A VM keeps its slot when the inventory's rows move.
    std::vector<EndpointObservation> evidence; ///< By slot.
    std::vector<bool> wasEligible; ///< By slot, at the last refresh.
    TimePoint firstRefreshAt {};
    std::map<std::pair<std::string, std::string>, TimePoint> lastAvailableAt; ///< By names of service and model.
};

} // namespace bilberry
