/// From where a weights agent takes each piece. Answers a fleet that turns to new weights at once: each piece leaves the
/// origin once, enters each other region once, and is passed on between neighbours. Pure decisions.
#pragma once

#include "Address.h"
#include "EndpointChoice.h"
#include "ServiceSummary.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry {

/// An agent beside an engine of the same service.
struct AgentPeer {
    std::string host; ///< IP number of its VM.
    std::string region;
    bool isHolder = false; ///< Whether its engine serves the wanted version, so that all pieces are there.
};

/// One place to ask.
struct PieceSource {
    bool isOrigin = false;
    std::string host; ///< Of a peer.
    bool isInOwnRegion = false; ///< Of the peer.
};

struct PieceSourceQuery {
    uint32_t piece = 0;
    std::string ownHost;
    std::string ownRegion;
    std::string originRegion;
};

/// Agents of a service, from its list of engines, in the order of their hosts; all agents with the same list get the same.
/// Thread safe.
std::vector<AgentPeer> listAgents(const std::vector<ServiceEngine>&, uint32_t version, const NodeLocation&);

/// The agent that brings a piece into a region; empty when the region has none. Thread safe.
std::string importerOf(uint32_t piece, const std::string& region, const std::vector<AgentPeer>&);

/// Places to ask for a piece, the best first; the origin is always the last. Thread safe.
std::vector<PieceSource> pieceSources(const PieceSourceQuery&, const std::vector<AgentPeer>&);

/// Places to ask for the digests of a version, the best first: a few agents ask the origin, all others ask these. Thread safe.
std::vector<PieceSource> manifestSources(const std::string& ownHost, const std::string& originRegion, const std::vector<AgentPeer>&);

} // namespace bilberry
