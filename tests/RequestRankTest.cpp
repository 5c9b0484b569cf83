#define BOOST_TEST_MODULE RequestRank
#include <boost/test/unit_test.hpp>

#include "EntryConfiguration.h"
#include "RequestRank.h"

using namespace bilberry;

namespace {

RouteRule routeOf(int priority)
{
    RouteRule route;
    route.priority = priority;
    return route;
}

ClientAccount accountOf(std::optional<int> priority)
{
    ClientAccount account;
    account.priority = priority;
    return account;
}

} // namespace

// Load: urgent and batch requests of accounts that have priorities of their own compete for one service.
BOOST_AUTO_TEST_CASE(anAccountsPriorityGoesFirstAndTheRoutesDecidesWithinIt)
{
    struct Case {
        const char* name;
        RequestRank first;
        RequestRank second;
    };
    auto important = accountOf(0);
    auto usual = accountOf(1);
    auto unranked = accountOf(std::nullopt);
    const std::vector<Case> cases {
        { "routes of one account", rankOf(routeOf(0), &usual), rankOf(routeOf(2), &usual) },
        { "accounts on one route", rankOf(routeOf(1), &important), rankOf(routeOf(1), &usual) },
        { "the account before the route", rankOf(routeOf(2), &important), rankOf(routeOf(0), &usual) },
        { "an account without a priority has its route's", rankOf(routeOf(0), &unranked), rankOf(routeOf(0), &usual) },
        { "an anonymous request has its route's", rankOf(routeOf(0), nullptr), rankOf(routeOf(2), nullptr) },
    };
    for (const auto& row : cases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST((row.first < row.second));
            BOOST_TEST(!(row.second < row.first));
        }
    }
}

BOOST_AUTO_TEST_CASE(withinARankTheOnesThatCanStillBeOnTimeGoFirst)
{
    auto rank = rankOf(routeOf(1), nullptr);
    auto late = rank;
    late.isLate = true;
    auto beyond = rank;
    beyond.isBeyondShare = true;
    BOOST_TEST((rank < late));
    BOOST_TEST((rank < beyond));
    BOOST_TEST((late < beyond));
    BOOST_TEST((beyond < rankOf(routeOf(2), nullptr)));
    BOOST_TEST((firstRank < rankOf(routeOf(0), nullptr)));
    auto returning = rank;
    returning.isNew = false;
    BOOST_TEST((returning < rank));
    BOOST_TEST((rankOf(routeOf(0), nullptr) < returning));
    auto starved = rankOf(routeOf(2), nullptr);
    starved.isOrdinary = false;
    BOOST_TEST((starved < rankOf(routeOf(0), nullptr)));
    BOOST_TEST((firstRank < starved));
}

BOOST_AUTO_TEST_CASE(aServiceIsRankedIfItsRoutesDifferInPriority)
{
    EntryConfiguration table;
    auto route = [](int priority, std::vector<ServiceShare> services) {
        auto made = routeOf(priority);
        made.services = std::move(services);
        return made;
    };
    table.routes = { route(0, { { "writer", 1 } }), route(1, { { "writer", 1 }, { "other", 1 } }), route(2, { { "register", 1 } }), route(2, { { "register", 1 } }) };
    table.services.resize(3);
    table.services[0].name = "writer";
    table.services[1].name = "other";
    table.services[2].name = "register";
    indexEntryConfiguration(table);
    BOOST_TEST(table.services[0].hasRankedRoutes);
    BOOST_TEST(!table.services[1].hasRankedRoutes);
    BOOST_TEST(!table.services[2].hasRankedRoutes);
}
