#include "PieceSources.h"

#include <algorithm>

namespace bilberry {

std::vector<AgentPeer> listAgents(const std::vector<EndpointRecord>& records, const std::string& service, const std::string& model, uint32_t modelLayers, uint32_t version, const Place& place)
{
    std::vector<AgentPeer> agents;
    for (const auto& record : records) {
        if (record.service != service)
            continue;
        auto region = place.regionOf.find(record.dataCentre);
        bool isHolder = servedVersion(record, model, modelLayers) == version;
        agents.push_back({ record.address.host, region == place.regionOf.end() ? std::string() : region->second, isHolder });
    }
    std::sort(agents.begin(), agents.end(), [](const AgentPeer& first, const AgentPeer& second) { return first.host < second.host; });
    auto isSame = [](const AgentPeer& first, const AgentPeer& second) { return first.host == second.host; };
    agents.erase(std::unique(agents.begin(), agents.end(), isSame), agents.end());
    return agents;
}

static std::vector<AgentPeer> agentsOf(const std::string& region, const std::vector<AgentPeer>& agents)
{
    std::vector<AgentPeer> found;
    std::copy_if(agents.begin(), agents.end(), std::back_inserter(found), [&](const AgentPeer& agent) { return agent.region == region; });
    return found;
}

std::string importerOf(uint32_t piece, const std::string& region, const std::vector<AgentPeer>& agents)
{
    auto candidates = agentsOf(region, agents);
    return candidates.empty() ? std::string() : candidates[piece % candidates.size()].host;
}

std::vector<PieceSource> pieceSources(const PieceQuestion& question, const std::vector<AgentPeer>& agents)
{
    std::vector<PieceSource> sources;
    auto add = [&](const std::string& host) {
        bool isKnown = std::any_of(sources.begin(), sources.end(), [&](const PieceSource& source) { return source.host == host; });
        if (!host.empty() && host != question.ownHost && !isKnown)
            sources.push_back({ false, host });
    };
    auto addOneHolder = [&](const std::vector<AgentPeer>& candidates, uint32_t offset) {
        std::vector<AgentPeer> holders;
        std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(holders), [&](const AgentPeer& agent) { return agent.isHolder && agent.host != question.ownHost; });
        if (!holders.empty())
            add(holders[(question.piece + offset) % holders.size()].host);
    };
    // 1. A neighbour that has all pieces.
    auto neighbours = agentsOf(question.ownRegion, agents);
    addOneHolder(neighbours, 0);
    // 2. The one that brings the piece into the region; that one itself asks outside.
    auto importer = importerOf(question.piece, question.ownRegion, agents);
    bool isImporter = importer == question.ownHost;
    if (!isImporter)
        add(importer);
    bool isOriginNear = question.originRegion == question.ownRegion;
    if (isImporter && !isOriginNear) {
        addOneHolder(agents, 0);
        add(importerOf(question.piece, question.originRegion, agents));
    }
    if (isImporter && isOriginNear) {
        // Held anywhere: a region's link costs less than the origin's.
        addOneHolder(agents, 0);
        sources.push_back({ true, {} });
        return sources;
    }
    // 3. Any other neighbour, then the origin.
    addOneHolder(neighbours, 1);
    if (neighbours.size() > 1)
        add(neighbours[(question.piece + 1) % neighbours.size()].host);
    sources.push_back({ true, {} });
    return sources;
}

} // namespace bilberry
