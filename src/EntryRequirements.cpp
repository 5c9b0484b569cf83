#include "EntryRequirements.h"

#include "EntryNode.h"
#include "VersionSwitch.h"

#include <algorithm>

namespace bilberry {

std::string chooseService(const RouteRule& route, const EndpointTable& endpoints, double random)
{
    auto hasEndpoints = [&](const ServiceShare& share) {
        return std::any_of(endpoints.rows.begin(), endpoints.rows.end(), [&](const EndpointRow& row) { return row.isListed && row.record.service == share.service; });
    };
    std::vector<const ServiceShare*> usable;
    double total = 0;
    for (const auto& share : route.services) {
        if (share.weight <= 0 || (route.services.size() > 1 && !hasEndpoints(share)))
            continue;
        usable.push_back(&share);
        total += share.weight;
    }
    if (usable.empty())
        return route.services.front().service;
    double point = random * total;
    for (const auto* share : usable) {
        point -= share->weight;
        if (point < 0)
            return share->service;
    }
    return usable.back()->service;
}

EndpointRequirements requirementsOf(const EntryNode& node, const RequestSettings& settings, const std::string& service, const std::string& model)
{
    EndpointRequirements requirements;
    requirements.service = service;
    requirements.model = model;
    requirements.routeRegions = &settings.route.regions;
    requirements.accountRegions = settings.account ? &settings.account->regions : nullptr;
    if (!settings.service)
        return requirements;
    requirements.sharesEngines = sharesEngines(*settings.service, node.clusterView.endpoints);
    for (const auto& served : settings.service->models)
        requirements.modelLayers = served.name == model ? served.layerCount : requirements.modelLayers;
    const auto& bounds = node.settings.reloadable;
    if (settings.service->maxColdRate > 0)
        requirements.maxColdRate = (settings.service->maxColdRate * bounds.coldRateFactor + bounds.coldRateAllowance) / entryCount(node);
    return requirements;
}

PaceRequirements paceOf(const EntryNode& node, const RequestSettings& settings, const std::string& service, const PacedRequest& request, TimePoint now)
{
    PaceRequirements pace;
    if (!statesWorkTimes(node.clusterView.endpoints, service, now))
        return pace;
    static const ServiceQueue emptyQueue;
    auto queue = node.queues.find(service);
    pace.weighsDataCentres = true;
    pace.distances = &node.distances;
    pace.engine = settings.service && settings.service->engine ? &*settings.service->engine : nullptr;
    pace.promptTokens = request.promptTokens;
    pace.maxEventGap = settings.route.maxEventGap;
    pace.timeToTarget = std::chrono::duration_cast<Milliseconds>(request.firstArrivedAt + settings.route.targetLatency - now);
    pace.expectedWait = expectedQueueWait(queue == node.queues.end() ? emptyQueue : queue->second, request.rank, now);
    return pace;
}

static const NamedVersions* namedVersionsOf(const EntryNode& node, const std::string& model)
{
    auto found = node.clusterView.namedVersions.find(model);
    return found == node.clusterView.namedVersions.end() ? nullptr : &found->second;
}

void updateRequirements(const EntryNode& node, EndpointRequirements& requirements)
{
    requirements.entryCount = entryCount(node);
    requirements.nearEntryCount = nearEntryCount(node);
    requirements.entryHash = std::hash<std::string>()(node.settings.ownIp);
    requirements.bootNow = BootClock::now();
    requirements.maxVersionSwitchTime = node.settings.reloadable.maxVersionSwitchTime;
    requirements.namedVersions = namedVersionsOf(node, requirements.model);
    requirements.minWeightVersion = requirements.namedVersions ? oldestAllowedVersion(*requirements.namedVersions, requirements.maxVersionSwitchTime, requirements.bootNow, supersededUse(requirements.sharesEngines)) : 0;
}

BootTimePoint beginDeadline(const EntryNode& node, const EndpointRow& endpoint, const EndpointRequirements& requirements)
{
    const auto* named = namedVersionsOf(node, requirements.model);
    if (!endpoint.record.isModelEngine || !named)
        return BootTimePoint::max();
    auto held = servedVersion(endpoint.record, requirements.model, requirements.modelLayers);
    return mustBeginBy(*named, held, node.settings.reloadable.maxVersionSwitchTime);
}

std::optional<uint32_t> weightVersionToRequire(const EntryNode& node, const EndpointRow& endpoint, const EndpointRequirements& requirements)
{
    const auto* named = namedVersionsOf(node, requirements.model);
    if (!endpoint.record.isModelEngine || !named)
        return std::nullopt;
    return versionToRequire(*named, servedVersion(endpoint.record, requirements.model, requirements.modelLayers));
}

} // namespace bilberry
