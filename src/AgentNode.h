/// A weights agent on the event loop: keeps the engine on its VM on the weights that operators have named.
#pragma once

#include "EventLog.h"
#include "HttpCall.h"
#include "LoopServer.h"
#include "Metrics.h"
#include "NodeSettings.h"
#include "NoticeSender.h"
#include "PieceSources.h"
#include "ProtocolAdapter.h"
#include "SummaryWatch.h"
#include "VersionSwitch.h"

#include <deque>
#include <memory>
#include <vector>

namespace bilberry {

/// Longest time for an answer of the engine on the own VM.
constexpr Milliseconds engineTimeout { 2000 };

/// Whether an engine has all layers of that version. Thread safe.
bool servesVersion(const EngineReport&, const ServedModel&, uint32_t version);

/// Used by the loop's thread only.
class AgentNode {
public:
    /// Preconditions: loop and log outlive the node; the settings are those of an agent.
    AgentNode(EventLoop&, const NodeSettings&, const ProtocolAdapter&, EventLog&);
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
        bool shouldVerify = true; ///< Whether it is checked before it is sent.
        bool isCrossRegion = false; ///< Whether the peer's region waits for it.
    };

    /// A peer that waits for the digests of a version.
    struct PendingManifestRequest {
        std::shared_ptr<ServerExchange> exchange;
        uint32_t version = 0;
        TimePoint until {};
    };

    /// A peer that waits for a piece.
    struct PendingPieceRequest {
        Upload upload;
        uint32_t version = 0;
        TimePoint until {};
    };

    void scheduleTick();
    void tick();
    void answerMetrics(const std::shared_ptr<ServerExchange>&);
    void handleSummary(const ServiceSummary&);
    void handleEntriesLost(const std::string& reason);
    void requestReport();
    void handleReport(const EngineReport&, TimePoint now);
    void recordNamedVersion(const SummaryVersion&, TimePoint now);
    TimePoint newestNamedAt() const;
    void fetchManifestIfNeeded(uint32_t version);
    uint32_t wantedVersion() const;
    void fetchManifest();
    void handleManifest(const CallResult&, bool isFromPeer);
    void startFetches(TimePoint now);
    std::vector<AgentPeer> agentsFor(uint32_t version) const;
    std::string originRegion() const;
    PieceSource currentSourceFor(uint32_t piece, const std::vector<AgentPeer>&) const;
    void startFetch(Fetch&, uint32_t piece, const PieceSource&);
    void finishFetch(Fetch&, const CallResult&);
    void stagePiece(uint32_t piece, std::string bytes);
    void logIfAllStaged();
    void verifyStagedPiece(uint32_t piece);
    void orderLoadWhenReady(TimePoint now);
    bool isSwitchDue(TimePoint now) const;
    void orderLoad();
    void notifyEntries(uint32_t version);
    void answerPeerRequest(const std::shared_ptr<ServerExchange>&);
    void answerPieceRequest(Upload);
    void answerPendingManifestRequests();
    void sendUnverifiedPiece(const std::shared_ptr<ServerExchange>&, uint32_t piece);
    void sendVerifiedPiece(const std::shared_ptr<ServerExchange>&, uint32_t piece);
    void enqueueUpload(Upload);
    void sendNextUpload();
    void answerPendingPieceRequests(uint32_t piece);
    void expirePendingRequests(TimePoint now);
    HttpCaller& idleEngineCaller();

    EventLoop& loop;
    NodeSettings settings;
    const ProtocolAdapter& dialect;
    EventLog& log;
    Metrics metrics;
    LoopTimer timer;
    LoopTimer uploadTimer;
    LoopServer peerServer;
    LoopServer metricsServer;
    SummaryWatch summaryWatch;
    HttpCaller reportCaller;
    HttpCaller manifestCaller;
    std::vector<std::unique_ptr<HttpCaller>> engineCallers; ///< To the engine, as many as are used at a time.
    NoticeSender noticeSender;
    std::vector<std::unique_ptr<Fetch>> fetches;
    std::deque<Upload> uploadQueue; ///< To peers, in the order in which they leave.
    TimePoint nextUploadAt {};
    std::vector<PendingPieceRequest> pendingPieceRequests; ///< Peers that wait for a piece which is on its way.
    std::vector<PendingManifestRequest> pendingManifestRequests;

    // What is believed.
    std::optional<ServiceSummary> brief; ///< The newest one; nothing until an entry has answered.
    bool areEntriesUnreachable = false; ///< Whether the last question to an entry had no answer.
    NamedVersions namedVersions;
    std::optional<EngineReport> engineReport;
    uint32_t peerRequestedVersion = 0; ///< That a peer has asked for.
    uint64_t noticeCount = 0;
    TimePoint noticeUntil {}; ///< Entries are told of the engine's version up to then.
    TimePoint reportRequestedAt {};

    // The weights that are being brought.
    PieceDigests manifest;
    uint32_t manifestAttempts = 0;
    TimePoint manifestRequestedAt {};
    std::vector<bool> isPieceStaged; ///< By piece: written to the engine's stage, or found there, with the right digest.
    std::vector<bool> isPieceInProgress; ///< By piece: being fetched or written.
    std::vector<uint32_t> failedSourceCounts; ///< By piece: sources that failed.
    std::vector<uint32_t> notFoundCounts; ///< By piece: answers of the present source that it doesn't have it yet.
    std::vector<TimePoint> earliestRetryAt; ///< By piece: not asked for again before.
    TimePoint loadOrderedAt {};
    uint32_t orderedVersion = 0;
    bool isVerifying = false;
};

} // namespace bilberry
