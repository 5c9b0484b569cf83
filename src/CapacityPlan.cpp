#include "CapacityPlan.h"

#include "ServiceSummary.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

static bool holds(const std::vector<std::string>& hosts, const std::string& host)
{
    return std::binary_search(hosts.begin(), hosts.end(), host);
}

static void sortOnce(std::vector<std::string>& hosts)
{
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
}

SwitchOrder switchOrderOf(const std::vector<ServiceEngine>& engines, const std::string& dataCentre)
{
    SwitchOrder order;
    for (const auto& engine : engines) {
        if (engine.dataCentre != dataCentre)
            continue;
        order.listed.push_back(engine.host);
        if (!engine.isLeaving)
            order.staying.push_back(engine.host);
    }
    sortOnce(order.listed);
    sortOnce(order.staying);
    return order;
}

static bool isLeaving(const SwitchOrder& order, const std::string& host)
{
    return holds(order.listed, host) && !holds(order.staying, host);
}

std::optional<Milliseconds> plannedDelay(const SwitchOrder& order, const std::string& host, Milliseconds bound, SupersededUse use)
{
    assert(order.staying.size() <= order.listed.size());
    if (isLeaving(order, host))
        return std::nullopt;
    bool isNew = !holds(order.listed, host) && use == SupersededUse::UntilBound;
    auto position = std::lower_bound(order.staying.begin(), order.staying.end(), host) - order.staying.begin();
    return switchDelayAt(static_cast<size_t>(position), order.staying.size() + (isNew ? 1 : 0), bound, use);
}

LoadTurn loadTurn(const SwitchOrder& order, const std::string& host, bool isServing)
{
    if (!isServing)
        return LoadTurn::AtOnce;
    return isLeaving(order, host) ? LoadTurn::Never : LoadTurn::InOrder;
}

} // namespace bilberry
