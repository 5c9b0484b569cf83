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
    bool isGone = false; ///< Whether it is listed no more; it only keeps the places of the others.
};

/// One source of a piece or a manifest: the origin or a peer.
struct PieceSource {
    bool isOrigin = false;
    std::string host; ///< IP address of the peer; empty for the origin.
    bool isInOwnRegion = false; ///< Whether the peer is in the asking agent's region; not set for manifests.
};

/// Answers of one source that didn't have a piece. Used by one thread at a time.
struct NotFoundAnswers {
    uint32_t unexplained = 0;
    uint32_t awaited = 0; ///< Those of a peer that waits for the piece itself because the origin is out of reach.
};

/// In which order the agents of a region import a piece and take over from each other, and whether they pass it on along a tree.
enum class AgentOrder : uint8_t {
    Listed, ///< In the order of the list, beginning at another agent for each piece. The importer passes the piece on to all.
    /// Along a tree (see parentOf()). Any two agents have the same relative order in every list that has both. Lists differ while engines
    /// come and go; in this order, agents with different lists still don't wait for each other in a circle.
    Fixed,
};

/// Which agent asks for which piece.
struct PieceSourceQuery {
    uint32_t piece = 0;
    std::string ownHost;
    std::string ownRegion;
    std::string originRegion; ///< Empty when it is unknown.
    bool isHurried = false; ///< Whether it is needed soon: a second agent of the origin's region is asked before the origin.
    AgentOrder order = AgentOrder::Listed; ///< That of all agents of the service.
};

/// Returns the agents of a service in the order of its list of engines, which is sorted by host. An agent is a holder when
/// its engine has loaded `version`. The region is empty for a data centre that the location doesn't list. Those of engines that leave
/// are left out: their records are removed soon, and agents that learn of it at different times would have different trees. All agents
/// with the same list get the same result. Thread safe.
std::vector<AgentPeer> listAgents(const std::vector<ServiceEngine>&, uint32_t version, const NodeLocation&);

/// Returns the agents of an earlier list in its order, as they are listed now; those that aren't are gone, and later ones are left
/// out. While engines leave one after the other, so that the lists of agents differ, the others keep the pieces that they import and
/// share those of the agents that have gone: a piece that changed hands would leave the origin again. Thread safe.
std::vector<AgentPeer> keepOrder(std::vector<AgentPeer> earlier, const std::vector<AgentPeer>& listed);

/// Returns the host of the agent that imports a piece into a region; empty when the region has no agent. Thread safe.
std::string importerOf(uint32_t piece, const std::string& region, const std::vector<AgentPeer>&, AgentOrder = AgentOrder::Listed);

/// Returns the sources of a piece in the order in which they are tried; the origin is always the last. Thread safe.
std::vector<PieceSource> pieceSources(const PieceSourceQuery&, const std::vector<AgentPeer>&);

/// Returns the host of the agent that passes a piece on to the agent at `host` in AgentOrder::Fixed. The agents of a region form a binary
/// tree below the piece's importer, another one for each piece: the last pieces reach a large region in a few steps, and each agent
/// passes on about as much as the others. Agents that have gone are passed over. Empty for the importer and for a `host` that isn't
/// listed. Thread safe.
std::string parentOf(uint32_t piece, const std::string& host, const std::string& region, const std::vector<AgentPeer>&);

/// Returns the time after a manifest's arrival at which the piece's importer asks the origin for it. Pieces that all are asked for at
/// once would all arrive last, and leave the links of the importers unused until then. `bytesPerSecond` is the rate of a VM's link; the
/// result is zero if that is unknown, which zero means. Thread safe.
Milliseconds originRequestDelay(uint32_t piece, size_t pieceBytes, double bytesPerSecond);

/// Notes that the current source of a piece didn't have it, and returns whether it is asked again. Agents that go on to other sources
/// while the origin is out of reach would all ask the origin once it is back.
bool mayAskSourceAgain(NotFoundAnswers&, bool isAwaited);

/// Returns the sources of a version's manifest in the order in which they are tried. A few agents, the roots, ask the origin
/// first; all others ask the roots first and the origin last. Thread safe.
std::vector<PieceSource> manifestSources(const std::string& ownHost, const std::string& originRegion, const std::vector<AgentPeer>&);

/// Returns the sources of a manifest that is needed soon: a root asks the origin several times before each of its peers. Roots whose
/// requests the origin refused at the same time would otherwise wait for each other. Thread safe.
std::vector<PieceSource> repeatOrigin(const std::vector<PieceSource>& sources);

} // namespace bilberry
