#include "RequestRank.h"

#include "EntryConfiguration.h"

namespace bilberry {

RequestRank rankOf(const RouteRule& route, const ClientAccount* account)
{
    RequestRank rank;
    rank.account = account ? account->priority.value_or(route.priority) : route.priority;
    rank.route = route.priority;
    return rank;
}

} // namespace bilberry
