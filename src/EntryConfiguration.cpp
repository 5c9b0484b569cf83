#include "EntryConfiguration.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace bilberry {

static bool hasRankedRoutes(const EntryConfiguration& table, const std::string& service)
{
    std::optional<int> priority;
    for (const auto& route : table.routes) {
        bool isShared = std::any_of(route.services.begin(), route.services.end(), [&](const ServiceShare& share) { return share.service == service; });
        if (!isShared)
            continue;
        if (route.priority != priority.value_or(route.priority))
            return true;
        priority = route.priority;
    }
    return false;
}

void indexEntryConfiguration(EntryConfiguration& table)
{
    table.routesByHost.clear();
    table.accountByKey.clear();
    table.serviceByName.clear();
    for (RowIndex row = 0; row < table.routes.size(); ++row)
        table.routesByHost[table.routes[row].host].push_back(row);
    for (auto& [host, rows] : table.routesByHost) {
        std::stable_sort(rows.begin(), rows.end(), [&](RowIndex first, RowIndex second) {
            return table.routes[first].prefix.size() > table.routes[second].prefix.size();
        });
    }
    for (RowIndex row = 0; row < table.accounts.size(); ++row) {
        for (const auto& key : table.accounts[row].keys)
            table.accountByKey[key] = row;
    }
    for (RowIndex row = 0; row < table.services.size(); ++row)
        table.serviceByName[table.services[row].name] = row;
    for (auto& service : table.services)
        service.hasRankedRoutes = hasRankedRoutes(table, service.name);
}

const RouteRule* findRoute(const EntryConfiguration& table, std::string_view host, std::string_view target)
{
    auto name = absl::AsciiStrToLower(absl::string_view(host.data(), host.size()));
    name = name.substr(0, name.find(':'));
    auto found = table.routesByHost.find(name);
    if (found == table.routesByHost.end())
        return nullptr;
    auto path = target.substr(0, target.find('?'));
    for (RowIndex row : found->second) {
        const auto& route = table.routes[row];
        if (path.substr(0, route.prefix.size()) == route.prefix)
            return &route;
    }
    return nullptr;
}

const ClientAccount* findAccount(const EntryConfiguration& table, const std::string& key)
{
    auto found = table.accountByKey.find(key);
    return found == table.accountByKey.end() ? nullptr : &table.accounts[found->second];
}

const ServiceSettings* findService(const EntryConfiguration& table, const std::string& name)
{
    auto found = table.serviceByName.find(name);
    return found == table.serviceByName.end() ? nullptr : &table.services[found->second];
}

bool mayRepeat(const RouteRule& route)
{
    return route.kind == RequestKind::Idempotent || (route.kind == RequestKind::Stream && route.isResumable);
}

} // namespace bilberry
