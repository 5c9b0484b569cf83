/// The rank of a request among those that compete for a service's endpoints. When there isn't room for all, requests of higher
/// rank go first.
#pragma once

#include <tuple>

namespace bilberry {

struct ClientAccount;
struct RouteRule;

/// Smaller values are more urgent. The members are compared in their order.
struct RequestRank {
    int account = 0; ///< The account's priority; the route's where the account has none.
    int route = 0; ///< The route's priority.
    bool isBeyondShare = false; ///< Whether the account already has more than its fair share of the service.
    bool isLate = false; ///< Whether the request can no longer meet its route's target latency.

    bool operator<(const RequestRank& other) const { return this->asTuple() < other.asTuple(); }
    bool operator==(const RequestRank& other) const { return this->asTuple() == other.asTuple(); }

private:
    std::tuple<int, int, bool, bool> asTuple() const { return { this->account, this->route, this->isBeyondShare, this->isLate }; }
};

/// Rank of a request that must go before all others.
constexpr RequestRank firstRank { -1, -1, false, false };

/// Returns the rank of a request that is on time and within its account's share. The account is null for an anonymous request.
/// Thread safe.
RequestRank rankOf(const RouteRule&, const ClientAccount*);

} // namespace bilberry
