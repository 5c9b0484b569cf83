#include "PieceSources.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

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
        agents.push_back({ engine.host, region == location.regionByDataCentre.end() ? std::string() : region->second, engine.version == version, engine.version != 0 });
    }
    return agents;
}

std::vector<AgentPeer> updateAgents(std::vector<AgentPeer> atStart, const std::vector<AgentPeer>& current)
{
    std::unordered_map<std::string_view, const AgentPeer*> currentByHost;
    for (const auto& agent : current)
        currentByHost[agent.host] = &agent;
    for (auto& agent : atStart) {
        auto found = currentByHost.find(agent.host);
        agent.isListed = found != currentByHost.end();
        agent.isHolder = agent.isListed && found->second->isHolder;
        currentByHost.erase(agent.host);
    }
    for (const auto& agent : current) {
        if (agent.isHolder && currentByHost.count(agent.host) != 0)
            atStart.push_back({ agent.host, agent.region, true, false, true });
    }
    return atStart;
}

static std::vector<const AgentPeer*> pointersTo(const std::vector<AgentPeer>& agents)
{
    std::vector<const AgentPeer*> pointers;
    for (const auto& agent : agents)
        pointers.push_back(&agent);
    return pointers;
}

static std::vector<const AgentPeer*> agentsInRegion(const std::string& region, const std::vector<AgentPeer>& agents)
{
    std::vector<const AgentPeer*> matching;
    for (const auto& agent : agents) {
        if (agent.region == region)
            matching.push_back(&agent);
    }
    return matching;
}

// Returns a region's agents in the order in which they import the piece, each when those before it have failed. Those whose
// engines serve a version share the pieces; if there is none, all do.
static std::vector<const AgentPeer*> importersInTurn(uint32_t piece, const std::string& region, const std::vector<AgentPeer>& agents)
{
    auto candidates = agentsInRegion(region, agents);
    auto servesNone = [](const AgentPeer* agent) { return !agent->servesAny; };
    if (!std::all_of(candidates.begin(), candidates.end(), servesNone))
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), servesNone), candidates.end());
    std::vector<const AgentPeer*> importers;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const auto* candidate = candidates[(piece + i) % candidates.size()];
        if (candidate->isListed)
            importers.push_back(candidate);
    }
    return importers;
}

std::string importerOf(uint32_t piece, const std::string& region, const std::vector<AgentPeer>& agents)
{
    auto importers = importersInTurn(piece, region, agents);
    return importers.empty() ? std::string() : importers.front()->host;
}

// Returns the host of an agent that has all pieces; empty when there is none. Different pieces are spread over the holders.
static std::string chooseHolder(const PieceSourceQuery& query, const std::vector<const AgentPeer*>& agents)
{
    std::vector<const AgentPeer*> holders;
    std::copy_if(agents.begin(), agents.end(), std::back_inserter(holders), [&](const AgentPeer* agent) { return agent->isHolder && agent->host != query.ownHost; });
    return holders.empty() ? std::string() : holders[query.piece % holders.size()]->host;
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
    addPeer(chooseHolder(query, agentsInRegion(query.ownRegion, agents)), true);
    // 2. The agents that import the piece into the region, in turn, up to the agent itself. It takes over when all agents before
    //    it have failed.
    for (const auto* importer : importersInTurn(query.piece, query.ownRegion, agents)) {
        if (importer->host == query.ownHost)
            break;
        addPeer(importer->host, true);
    }
    // 3. Sources outside the region: an agent that has all pieces, the importer in the origin's region, the origin.
    addPeer(chooseHolder(query, pointersTo(agents)), false);
    if (query.originRegion != query.ownRegion)
        addPeer(importerOf(query.piece, query.originRegion, agents), false);
    sources.push_back({ true, {} });
    return sources;
}

std::vector<PieceSource> manifestSources(const std::string& ownHost, const std::string& originRegion, const std::vector<AgentPeer>& agents)
{
    auto roots = agentsInRegion(originRegion, agents);
    if (roots.empty())
        roots = pointersTo(agents);
    roots.resize(std::min(roots.size(), std::max(minManifestRoots, agents.size() / agentsPerManifestRoot)));
    auto isOwn = [&](const AgentPeer& agent) { return agent.host == ownHost; };
    bool isRoot = std::any_of(roots.begin(), roots.end(), [&](const AgentPeer* root) { return isOwn(*root); });
    std::vector<PieceSource> sources;
    if (isRoot)
        sources.push_back({ true, {} });
    // Different agents begin with different roots, so that the roots share the load.
    auto position = static_cast<size_t>(std::find_if(agents.begin(), agents.end(), isOwn) - agents.begin());
    for (size_t i = 0; i < roots.size(); ++i) {
        const auto* root = roots[(position + i) % roots.size()];
        if (!isOwn(*root))
            sources.push_back({ false, root->host });
    }
    if (!isRoot)
        sources.push_back({ true, {} });
    return sources;
}

} // namespace bilberry
