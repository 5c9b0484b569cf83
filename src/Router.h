/// Keeps an entry's routing table current and counts its own requests in progress.
#pragma once

#include "Routing.h"

#include <memory>
#include <mutex>
#include <vector>

namespace bilberry {

struct Node;

/// Thread safe.
class Router {
public:
    /// Makes the table anew from what the node knows. Call each tick.
    void refresh(const Node&);
    /// Null until there is a configuration.
    std::shared_ptr<const RoutingTable> table() const;
    /// Chooses an endpoint (see chooseEndpoint()) and counts a request to it. A choice is taken back by release().
    RowIndex choose(const RoutingTable&, RoutingTarget, const std::vector<RowIndex>& excluded, uint64_t random);
    /// Counts a request to an endpoint that was chosen in another way.
    void acquire(RowIndex vm);
    /// Precondition: the endpoint was counted.
    void release(RowIndex vm);

private:
    mutable std::mutex mutex;
    std::shared_ptr<const RoutingTable> current;
    std::vector<uint32_t> inProgress; ///< By VM.
};

} // namespace bilberry
