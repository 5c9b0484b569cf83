#include "PieceSources.h"

#include <algorithm>

namespace bilberry {

// Agents for each one that asks the origin for the digests.
static constexpr size_t agentsPerManifestRoot = 16;
static constexpr size_t minManifestRoots = 2;

std::vector<AgentPeer> listAgents(const std::vector<ServiceEngine>& engines, uint32_t version, const NodeLocation& place)
{
    std::vector<AgentPeer> agents;
    for (const auto& engine : engines) {
        auto region = place.regionByDataCentre.find(engine.dataCentre);
        agents.push_back({ engine.host, region == place.regionByDataCentre.end() ? std::string() : region->second, engine.version == version });
    }
    return agents;
}

static std::vector<AgentPeer> agentsInRegion(const std::string& region, const std::vector<AgentPeer>& agents)
{
    std::vector<AgentPeer> found;
    std::copy_if(agents.begin(), agents.end(), std::back_inserter(found), [&](const AgentPeer& agent) { return agent.region == region; });
    return found;
}

std::string importerOf(uint32_t piece, const std::string& region, const std::vector<AgentPeer>& agents)
{
    auto candidates = agentsInRegion(region, agents);
    return candidates.empty() ? std::string() : candidates[piece % candidates.size()].host;
}

// A holder among the agents, another one for each piece; empty when there is none.
static std::string chooseHolder(const PieceSourceQuery& question, const std::vector<AgentPeer>& agents)
{
    std::vector<AgentPeer> holders;
    std::copy_if(agents.begin(), agents.end(), std::back_inserter(holders), [&](const AgentPeer& agent) { return agent.isHolder && agent.host != question.ownHost; });
    return holders.empty() ? std::string() : holders[question.piece % holders.size()].host;
}

std::vector<PieceSource> pieceSources(const PieceSourceQuery& question, const std::vector<AgentPeer>& agents)
{
    std::vector<PieceSource> sources;
    auto add = [&](const std::string& host, bool isInOwnRegion) {
        bool isKnown = std::any_of(sources.begin(), sources.end(), [&](const PieceSource& source) { return source.host == host; });
        if (!host.empty() && host != question.ownHost && !isKnown)
            sources.push_back({ false, host, isInOwnRegion });
    };
    // 1. A neighbour that has all pieces.
    auto neighbours = agentsInRegion(question.ownRegion, agents);
    add(chooseHolder(question, neighbours), true);
    // 2. Those who bring the piece into the region, in turn, up to the agent itself: it takes over when all before it fail.
    for (size_t i = 0; i < neighbours.size(); ++i) {
        const auto& next = neighbours[(question.piece + i) % neighbours.size()].host;
        if (next == question.ownHost)
            break;
        add(next, true);
    }
    // 3. Outside: a holder, the region of the origin, the origin.
    add(chooseHolder(question, agents), false);
    if (question.originRegion != question.ownRegion)
        add(importerOf(question.piece, question.originRegion, agents), false);
    sources.push_back({ true, {} });
    return sources;
}

std::vector<PieceSource> manifestSources(const std::string& ownHost, const std::string& originRegion, const std::vector<AgentPeer>& agents)
{
    auto roots = agentsInRegion(originRegion, agents);
    if (roots.empty())
        roots = agents;
    roots.resize(std::min(roots.size(), std::max(minManifestRoots, agents.size() / agentsPerManifestRoot)));
    auto isOwn = [&](const AgentPeer& agent) { return agent.host == ownHost; };
    bool isRoot = std::any_of(roots.begin(), roots.end(), isOwn);
    std::vector<PieceSource> sources;
    if (isRoot)
        sources.push_back({ true, {} });
    // Each agent begins with another root, so that these share the load.
    auto position = static_cast<size_t>(std::find_if(agents.begin(), agents.end(), isOwn) - agents.begin());
    for (size_t i = 0; i < roots.size(); ++i) {
        const auto& root = roots[(position + i) % roots.size()];
        if (!isOwn(root))
            sources.push_back({ false, root.host });
    }
    if (!isRoot)
        sources.push_back({ true, {} });
    return sources;
}

} // namespace bilberry
