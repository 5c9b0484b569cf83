/// A weights agent on the event loop: keeps the engine on its VM on the weights that operators have named.
#pragma once

#include "BriefWatch.h"
#include "Dialect.h"
#include "EventLog.h"
#include "HttpCall.h"
#include "LoopServer.h"
#include "Metrics.h"
#include "NodeSettings.h"
#include "NoticeSender.h"
#include "PieceSources.h"
#include "VersionSwitch.h"

#include <deque>
#include <memory>
#include <vector>

namespace bilberry {

/// Longest time for an answer of the engine on the own VM.
constexpr Milliseconds engineTimeout { 2000 };

/// Whether an engine has all layers of that version. Thread safe.
bool serves(const EngineReport&, const ServedModel&, uint32_t version);

/// Used by the loop's thread only.
class AgentNode {
public:
    /// Preconditions: loop and log outlive the node; the settings are those of an agent.
    AgentNode(EventLoop&, const NodeSettings&, const Dialect&, EventLog&);
    ~AgentNode();
    AgentNode(const AgentNode&) = delete;
    AgentNode& operator=(const AgentNode&) = delete;

    /// Opens the port for peers and starts to follow store and engine. Fails when the port can't be opened.
    absl::Status start();
    void reload(const NodeBounds&);
    /// Stops the loop: an agent has nothing to finish.
    void beginStop();

private:
    /// One piece on its way here.
    struct Fetch {
        std::unique_ptr<HttpCaller> caller; ///< Kept for the next piece from the same place.
        bool isRunning = false;
        uint32_t piece = 0;
        uint32_t version = 0;
        bool isFromOrigin = false;
    };

    /// A piece that is to be sent to a peer.
    struct Upload {
        std::shared_ptr<ServerExchange> exchange;
        uint32_t piece = 0;
        bool isVerified = true; ///< Whether it is checked before it is sent.
        bool isImport = false; ///< Whether the peer's region waits for it.
    };

    /// A peer that waits for the digests of a version.
    struct HeldManifest {
        std::shared_ptr<ServerExchange> exchange;
        uint32_t version = 0;
        TimePoint until {};
    };

    /// A peer that waits for a piece.
    struct HeldRequest {
        Upload upload;
        uint32_t version = 0;
        TimePoint until {};
    };

    void armTick();
    void tick();
    void answerMetrics(const std::shared_ptr<ServerExchange>&);
    void takeBrief(const ServiceBrief&);
    void takeLoss(const std::string& reason);
    void readReport();
    void takeReport(const EngineReport&, TimePoint now);
    void takeNamed(const BriefVersion&, TimePoint now);
    TimePoint newestNamedAt() const;
    void choosePiecesFor(uint32_t version);
    uint32_t wantedVersion() const;
    void fetchManifest();
    void takeManifest(const CallResult&, bool isFromPeer);
    void startFetches(TimePoint now);
    std::vector<AgentPeer> agentsFor(uint32_t version) const;
    std::string originRegion() const;
    PieceSource sourceOf(uint32_t piece, const std::vector<AgentPeer>&) const;
    void startFetch(Fetch&, uint32_t piece, const PieceSource&);
    void endFetch(Fetch&, const CallResult&);
    void stage(uint32_t piece, std::string bytes);
    void noteStaged();
    void checkStaged(uint32_t piece);
    void orderWhenReady(TimePoint now);
    bool isMyTurn(TimePoint now) const;
    void order();
    void tellEntries(uint32_t version);
    void answerPeer(const std::shared_ptr<ServerExchange>&);
    void answerPiece(Upload);
    void answerHeldManifests();
    void sendUnverified(const std::shared_ptr<ServerExchange>&, uint32_t piece);
    void sendStaged(const std::shared_ptr<ServerExchange>&, uint32_t piece);
    void upload(Upload);
    void sendNextUpload();
    void answerHeld(uint32_t piece);
    void dropOldHeld(TimePoint now);
    HttpCaller& localCaller();

    EventLoop& loop;
    NodeSettings settings;
    const Dialect& dialect;
    EventLog& log;
    Metrics metrics;
    LoopTimer timer;
    LoopTimer uploadTimer;
    LoopServer peers;
    LoopServer scrapers;
    BriefWatch briefs;
    HttpCaller reportCaller;
    HttpCaller manifestCaller;
    std::vector<std::unique_ptr<HttpCaller>> localCallers; ///< To the engine, as many as are used at a time.
    NoticeSender noticeSender;
    std::vector<std::unique_ptr<Fetch>> fetches;
    std::deque<Upload> uploads; ///< To peers, in the order in which they leave.
    TimePoint nextUploadAt {};
    std::vector<HeldRequest> held; ///< Peers that wait for a piece which is on its way.
    std::vector<HeldManifest> heldManifests;

    // What is believed.
    std::optional<ServiceBrief> brief; ///< The newest one; nothing until an entry has answered.
    bool areEntriesLost = false; ///< Whether the last question to an entry had no answer.
    NamedVersions named;
    std::optional<EngineReport> report;
    uint32_t hintedVersion = 0; ///< That a peer has asked for.
    uint64_t notices = 0;
    TimePoint noticeUntil {}; ///< Entries are told of the engine's version up to then.
    TimePoint reportAskedAt {};

    // The weights that are being brought.
    PieceDigests manifest;
    uint32_t manifestRound = 0;
    TimePoint manifestAskedAt {};
    std::vector<bool> isStaged; ///< By piece: written to the engine's stage, or found there, with the right digest.
    std::vector<bool> isInHand; ///< By piece: being fetched or written.
    std::vector<uint32_t> rounds; ///< By piece: sources that failed.
    std::vector<uint32_t> denials; ///< By piece: answers of the present source that it doesn't have it yet.
    std::vector<TimePoint> notBefore; ///< By piece: not asked for again before.
    TimePoint orderedAt {};
    uint32_t orderedVersion = 0;
    bool isVerifying = false;
};

} // namespace bilberry
