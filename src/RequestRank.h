/// The rank of a request among those that compete for a service's endpoints. When there isn't room for all, requests of higher
/// rank go first.
#pragma once

#include <tuple>

namespace bilberry {

struct ClientAccount;
struct RouteRule;

/// Smaller values are more urgent. The members are compared in their order.
struct RequestRank {
    bool isOrdinary = true; ///< False for a request that goes before all others, whatever its priorities.
    int account = 0; ///< The account's priority; the route's where the account has none.
    int route = 0; ///< The route's priority.
    bool isBeyondShare = false; ///< Whether the account already has more than its fair share of the service.
    bool isLate = false; ///< Whether the request can no longer meet its route's target latency.
    bool isNew = true; ///< Whether the request wasn't refused before. One that comes back in time goes before new ones.

    bool operator<(const RequestRank& other) const { return this->asTuple() < other.asTuple(); }
    bool operator==(const RequestRank& other) const { return this->asTuple() == other.asTuple(); }

private:
    std::tuple<bool, int, int, bool, bool, bool> asTuple() const { return { this->isOrdinary, this->account, this->route, this->isBeyondShare, this->isLate, this->isNew }; }
};

/// Rank of a request whose response has started.
constexpr RequestRank firstRank { false, -1, -1, false, false, false };

/// Returns the rank of a request that is on time and within its account's share. The account is null for an anonymous request.
/// Thread safe.
RequestRank rankOf(const RouteRule&, const ClientAccount*);

} // namespace bilberry
