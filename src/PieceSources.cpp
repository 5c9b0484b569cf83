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

// A holder among the agents, another one for each piece; empty when there is none.
static std::string holderFor(const PieceQuestion& question, const std::vector<AgentPeer>& agents)
{
    std::vector<AgentPeer> holders;
    std::copy_if(agents.begin(), agents.end(), std::back_inserter(holders), [&](const AgentPeer& agent) { return agent.isHolder && agent.host != question.ownHost; });
    return holders.empty() ? std::string() : holders[question.piece % holders.size()].host;
}

std::vector<PieceSource> pieceSources(const PieceQuestion& question, const std::vector<AgentPeer>& agents)
{
    std::vector<PieceSource> sources;
    auto add = [&](const std::string& host) {
        bool isKnown = std::any_of(sources.begin(), sources.end(), [&](const PieceSource& source) { return source.host == host; });
        if (!host.empty() && host != question.ownHost && !isKnown)
            sources.push_back({ false, host });
    };
    // 1. A neighbour that has all pieces.
    auto neighbours = agentsOf(question.ownRegion, agents);
    add(holderFor(question, neighbours));
    // 2. Those who bring the piece into the region, in turn, up to the agent itself: it takes over when all before it fail.
    for (size_t i = 0; i < neighbours.size(); ++i) {
        const auto& next = neighbours[(question.piece + i) % neighbours.size()].host;
        if (next == question.ownHost)
            break;
        add(next);
    }
    // 3. Outside: a holder, the region of the origin, the origin.
    add(holderFor(question, agents));
    if (question.originRegion != question.ownRegion)
        add(importerOf(question.piece, question.originRegion, agents));
    sources.push_back({ true, {} });
    return sources;
}

} // namespace bilberry
