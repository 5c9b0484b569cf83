#include "PieceSources.h"

#include <algorithm>
#include <string_view>

namespace bilberry {

// Roots are the agents that ask the origin for the manifest first. There is one root for each agentsPerManifestRoot agents,
// and at least minManifestRoots.
static constexpr size_t agentsPerManifestRoot = 16;
static constexpr size_t minManifestRoots = 2;
// Number of requests of a root to the origin before it asks a peer.
static constexpr size_t originRequestsPerPeer = 8;
// Number of agents to which an agent passes on one piece along a tree.
static constexpr size_t childrenPerAgent = 2;
// Odd multipliers of about 2^32 times the fractional parts of the golden ratio and of another irrational number: multiples of each are
// spread evenly over 32 bits.
static constexpr uint32_t hostMultiplier = 2'654'435'769;
static constexpr uint32_t pieceMultiplier = 1'779'033'703;
// Rate of the origin, in links of a VM, up to which it isn't left waiting for requests.
static constexpr double originLinksPerLink = 2;
// Number of answers of a source that doesn't have a piece after which the next source is asked. A peer answers so after some seconds.
static constexpr uint32_t maxUnexplainedAnswers = 4;
static constexpr uint32_t maxAwaitedAnswers = 8;

std::vector<AgentPeer> listAgents(const std::vector<ServiceEngine>& engines, uint32_t version, const NodeLocation& location)
{
    std::vector<AgentPeer> agents;
    for (const auto& engine : engines) {
        if (engine.isLeaving)
            continue;
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

std::vector<AgentPeer> keepOrder(std::vector<AgentPeer> earlier, const std::vector<AgentPeer>& listed)
{
    for (auto& agent : earlier) {
        auto isSame = [&](const AgentPeer& other) { return other.host == agent.host; };
        auto found = std::find_if(listed.begin(), listed.end(), isSame);
        agent.isGone = found == listed.end();
        agent.isHolder = !agent.isGone && found->isHolder;
    }
    return earlier;
}

// Returns the number of an address; consecutive addresses have consecutive numbers. Other names have any.
static uint32_t numberOf(const std::string& host)
{
    uint32_t number = 0;
    uint32_t part = 0;
    for (char character : host) {
        bool isDigit = character >= '0' && character <= '9';
        if (character == '.') {
            number = number * 256 + part;
            part = 0;
        } else {
            part = part * 10 + (isDigit ? static_cast<uint32_t>(character - '0') : static_cast<unsigned char>(character));
        }
    }
    return number * 256 + part;
}

// How far an agent is from the beginning of a piece's order, see AgentOrder::Fixed: each agent has a place on a circle, and the order of
// each piece begins elsewhere on it.
static std::pair<uint32_t, std::string_view> distanceFor(uint32_t piece, const AgentPeer& agent)
{
    return { numberOf(agent.host) * hostMultiplier - piece * pieceMultiplier, agent.host };
}

static std::vector<AgentPeer> orderOnCircle(uint32_t piece, const std::vector<AgentPeer>& agents)
{
    std::vector<std::pair<std::pair<uint32_t, std::string_view>, const AgentPeer*>> distances;
    distances.reserve(agents.size());
    for (const auto& agent : agents)
        distances.emplace_back(distanceFor(piece, agent), &agent);
    std::sort(distances.begin(), distances.end(), [](const auto& first, const auto& second) { return first.first < second.first; });
    std::vector<AgentPeer> ordered;
    ordered.reserve(distances.size());
    for (const auto& [distance, agent] : distances)
        ordered.push_back(*agent);
    return ordered;
}

// Returns the first agent of the piece's order that hasn't gone; empty when there is none.
static std::string firstOnCircle(uint32_t piece, const std::vector<AgentPeer>& agents)
{
    const AgentPeer* first = nullptr;
    for (const auto& agent : agents) {
        if (!agent.isGone && (!first || distanceFor(piece, agent) < distanceFor(piece, *first)))
            first = &agent;
    }
    return first ? first->host : std::string();
}

std::string importerOf(uint32_t piece, const std::string& region, const std::vector<AgentPeer>& agents, AgentOrder order)
{
    auto candidates = agentsInRegion(region, agents);
    if (candidates.empty())
        return {};
    if (order == AgentOrder::Fixed)
        return firstOnCircle(piece, candidates);
    const auto& first = candidates[piece % candidates.size()];
    if (!first.isGone)
        return first.host;
    // The pieces of those that have gone are spread over the others.
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), [](const AgentPeer& agent) { return agent.isGone; }), candidates.end());
    return candidates.empty() ? std::string() : candidates[piece % candidates.size()].host;
}

// Returns the agents of a region in the order in which they take over from each other for a piece; the first one imports it. The places
// of a tree are numbered in this order.
static std::vector<AgentPeer> orderForPiece(uint32_t piece, const std::vector<AgentPeer>& agents, AgentOrder order)
{
    if (order == AgentOrder::Fixed)
        return orderOnCircle(piece, agents);
    std::vector<AgentPeer> ordered;
    for (size_t place = 0; place < agents.size(); ++place)
        ordered.push_back(agents[(piece + place) % agents.size()]);
    return ordered;
}

static size_t placeOf(const std::string& host, const std::vector<AgentPeer>& ordered)
{
    auto found = std::find_if(ordered.begin(), ordered.end(), [&](const AgentPeer& agent) { return agent.host == host; });
    return static_cast<size_t>(found - ordered.begin());
}

// Returns the agents above a place in the tree, from the parent up to the one below the importer. `ordered` is that of orderForPiece().
static std::vector<std::string> ancestorsOf(size_t place, const std::vector<AgentPeer>& ordered)
{
    std::vector<std::string> ancestors;
    while (place > childrenPerAgent) {
        place = (place - 1) / childrenPerAgent;
        if (!ordered[place].isGone)
            ancestors.push_back(ordered[place].host);
    }
    return ancestors;
}

std::string parentOf(uint32_t piece, const std::string& host, const std::string& region, const std::vector<AgentPeer>& agents)
{
    auto importer = importerOf(piece, region, agents, AgentOrder::Fixed);
    auto ordered = orderForPiece(piece, agentsInRegion(region, agents), AgentOrder::Fixed);
    auto place = placeOf(host, ordered);
    if (host == importer || place == ordered.size())
        return {};
    auto ancestors = ancestorsOf(place, ordered);
    return ancestors.empty() ? importer : ancestors.front();
}

Milliseconds originRequestDelay(uint32_t piece, size_t pieceBytes, double bytesPerSecond)
{
    if (bytesPerSecond <= 0)
        return Milliseconds(0);
    double seconds = piece * static_cast<double>(pieceBytes) / (originLinksPerLink * bytesPerSecond);
    return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(seconds));
}

// Returns the host of an agent that has all pieces; empty when there is none. Different pieces are spread over the holders.
static std::string chooseHolder(const PieceSourceQuery& query, const std::vector<AgentPeer>& agents)
{
    std::vector<AgentPeer> holders;
    std::copy_if(agents.begin(), agents.end(), std::back_inserter(holders), [&](const AgentPeer& agent) { return agent.isHolder && agent.host != query.ownHost; });
    return holders.empty() ? std::string() : holders[query.piece % holders.size()].host;
}

// Returns the agent of the origin's region that takes over there from the importer.
static std::string successorOf(const PieceSourceQuery& query, const std::vector<AgentPeer>& agents)
{
    if (query.order == AgentOrder::Listed)
        return importerOf(query.piece + 1, query.originRegion, agents);
    auto importer = importerOf(query.piece, query.originRegion, agents, query.order);
    std::vector<AgentPeer> others;
    std::copy_if(agents.begin(), agents.end(), std::back_inserter(others), [&](const AgentPeer& agent) { return agent.host != importer; });
    return importerOf(query.piece, query.originRegion, others, query.order);
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
    // 2. The agents above this one in the piece's tree.
    auto importer = importerOf(query.piece, query.ownRegion, agents, query.order);
    auto ordered = orderForPiece(query.piece, regionAgents, query.order);
    auto place = placeOf(query.ownHost, ordered);
    if (query.order == AgentOrder::Fixed && importer != query.ownHost && place < ordered.size()) {
        for (const auto& host : ancestorsOf(place, ordered))
            addPeer(host, true);
    }
    // 3. The agents that import the piece into the region, in turn, up to the agent itself. It takes over when all agents before
    //    it have failed.
    addPeer(importer, true);
    for (size_t i = 0; importer != query.ownHost && i < place; ++i) {
        if (!ordered[i].isGone)
            addPeer(ordered[i].host, true);
    }
    // 4. Sources outside the region: an agent that has all pieces, the importer in the origin's region, the origin.
    addPeer(chooseHolder(query, agents), false);
    if (query.originRegion != query.ownRegion) {
        addPeer(importerOf(query.piece, query.originRegion, agents, query.order), false);
        // The one that takes over there, so that the origin isn't asked by each region.
        if (query.isHurried)
            addPeer(successorOf(query, agents), false);
    }
    sources.push_back({ true, {} });
    return sources;
}

bool mayAskSourceAgain(NotFoundAnswers& answers, bool isAwaited)
{
    ++(isAwaited ? answers.awaited : answers.unexplained);
    return answers.unexplained < maxUnexplainedAnswers && answers.awaited < maxAwaitedAnswers;
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

std::vector<PieceSource> repeatOrigin(const std::vector<PieceSource>& sources)
{
    bool isRoot = !sources.empty() && sources.front().isOrigin;
    if (!isRoot)
        return sources;
    std::vector<PieceSource> repeated;
    for (size_t i = 1; i < std::max<size_t>(sources.size(), 2); ++i) {
        repeated.insert(repeated.end(), originRequestsPerPeer, sources.front());
        if (i < sources.size())
            repeated.push_back(sources[i]);
    }
    return repeated;
}

} // namespace bilberry
