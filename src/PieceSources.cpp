#include "PieceSources.h"

#include <algorithm>

namespace bilberry {

// Roots are the agents that ask the origin for the manifest first. There is one root for each agentsPerManifestRoot agents,
// and at least minManifestRoots.
static constexpr size_t agentsPerManifestRoot = 16;
static constexpr size_t minManifestRoots = 2;

std::vector<AgentPeer> listAgents(const std::vector<ServiceEngine>& engines, uint32_t version, const NodeLocation& location)
{
    std::vector<AgentPeer> agents;
    for (const auto& engine : engines) {
        auto region = location.regionByDataCentre.find(engine.dataCentre);
        agents.push_back({ engine.host, region == location.regionByDataCentre.end() ? std::string() : region->second, engine.version == version });
    }
    return agents;
}

static std::vector<AgentPeer> agentsInRegion(const std::string& region, const std::vector<AgentPeer>& agents)
{
    std::vector<AgentPeer> matching;
    std::copy_if(agents.begin(), agents.end(), std::back_inserter(matching), [&](const AgentPeer& agent) { return agent.region == region; });
    return matching;
}

std::string importerOf(uint32_t piece, const std::string& region, const std::vector<AgentPeer>& agents)
{
    auto candidates = agentsInRegion(region, agents);
    return candidates.empty() ? std::string() : candidates[piece % candidates.size()].host;
}

// Returns the host of an agent that has all pieces; empty when there is none. Different pieces are spread over the holders.
static std::string chooseHolder(const PieceSourceQuery& query, const std::vector<AgentPeer>& agents)
{
    std::vector<AgentPeer> holders;
    std::copy_if(agents.begin(), agents.end(), std::back_inserter(holders), [&](const AgentPeer& agent) { return agent.isHolder && agent.host != query.ownHost; });
    return holders.empty() ? std::string() : holders[query.piece % holders.size()].host;
}

std::vector<PieceSource> pieceSources(const PieceSourceQuery& query, const std::vector<AgentPeer>& agents)
{
    std::vector<PieceSource> sources;
    auto addPeer = [&](const std::string& host, bool isInOwnRegion) {
        bool isKnown = std::any_of(sources.begin(), sources.end(), [&](const PieceSource& source) { return source.host == host; });
        if (!host.empty() && host != query.ownHost && !isKnown)
            sources.push_back({ false, host, isInOwnRegion });
    };
    // 1. An agent of the same region that has all pieces.
    auto regionAgents = agentsInRegion(query.ownRegion, agents);
    addPeer(chooseHolder(query, regionAgents), true);
    // 2. The agents that import the piece into the region, in turn, up to the agent itself. It takes over when all agents before
    //    it have failed.
    for (size_t i = 0; i < regionAgents.size(); ++i) {
        const auto& next = regionAgents[(query.piece + i) % regionAgents.size()].host;
        if (next == query.ownHost)
            break;
        addPeer(next, true);
    }
    // 3. Sources outside the region: an agent that has all pieces, the importer in the origin's region, the origin.
    addPeer(chooseHolder(query, agents), false);
    if (query.originRegion != query.ownRegion)
        addPeer(importerOf(query.piece, query.originRegion, agents), false);
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
    // Different agents begin with different roots, so that the roots share the load.
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
