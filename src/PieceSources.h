/// Decides from where a weights agent fetches each piece and each manifest. It is designed for the case in which all engines
/// of a service switch to a new version at the same time: each piece leaves the origin once, enters each other region once,
/// and is passed on between the agents of a region. Pure functions without I/O; AgentNode carries the decision out. A piece
/// is identified by its number. The chunks of ChunkPlan.h, which WeightAgent fetches, are identified by their digests.
#pragma once

#include "Address.h"
#include "EndpointChoice.h"
#include "ServiceSummary.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry {

/// An agent on the VM of an engine of the same service.
struct AgentPeer {
    std::string host; ///< IP address of its VM.
    std::string region;
    bool isHolder = false; ///< Whether its engine serves the wanted version, so that it has all pieces.
};

/// One source of a piece or a manifest: the origin or a peer.
struct PieceSource {
    bool isOrigin = false;
    std::string host; ///< IP address of the peer; empty for the origin.
    bool isInOwnRegion = false; ///< Whether the peer is in the asking agent's region; not set for manifests.
};

/// Which agent asks for which piece.
struct PieceSourceQuery {
    uint32_t piece = 0;
    std::string ownHost;
    std::string ownRegion;
    std::string originRegion; ///< Empty when it is unknown.
};

/// Returns the agents of a service in the order of its list of engines, which is sorted by host. An agent is a holder when
/// its engine has loaded `version`. The region is empty for a data centre that the location doesn't list. All agents with
/// the same list get the same result. Thread safe.
std::vector<AgentPeer> listAgents(const std::vector<ServiceEngine>&, uint32_t version, const NodeLocation&);

/// Returns the host of the agent that imports a piece into a region; empty when the region has no agent. Thread safe.
std::string importerOf(uint32_t piece, const std::string& region, const std::vector<AgentPeer>&);

/// Returns the sources of a piece in the order in which they are tried; the origin is always the last. Thread safe.
std::vector<PieceSource> pieceSources(const PieceSourceQuery&, const std::vector<AgentPeer>&);

/// Returns the sources of a version's manifest in the order in which they are tried. A few agents, the roots, ask the origin
/// first; all others ask the roots first and the origin last. Thread safe.
std::vector<PieceSource> manifestSources(const std::string& ownHost, const std::string& originRegion, const std::vector<AgentPeer>&);

} // namespace bilberry
