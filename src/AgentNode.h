/// A weights agent on the event loop: it fetches the pieces of the newest named version of the model's weights, writes them
/// to the stage of the engine on its own VM, orders the engine to load them, and passes the pieces on to other agents. The
/// stage is the area in which the engine keeps pieces until it gets an order to load them. A named version is one whose
/// number operators have published as the version to load. When a version is named, many agents fetch it at the same time,
/// so each piece leaves the origin once and the agents serve it to each other.
#pragma once

#include "AsyncHttpServer.h"
#include "ConnectionMemory.h"
#include "CutOffReport.h"
#include "EventLog.h"
#include "FetchWindow.h"
#include "HttpCall.h"
#include "LoadOrder.h"
#include "ManifestTrust.h"
#include "Metrics.h"
#include "NodeSettings.h"
#include "NoticeSender.h"
#include "PeerMessage.h"
#include "PieceSources.h"
#include "ProtocolAdapter.h"
#include "SummaryWatch.h"
#include "VersionSwitch.h"

#include <deque>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace bilberry {

/// Timeout of a call to the engine on the agent's own VM.
constexpr Milliseconds engineTimeout { 2000 };
/// Time after a version switch, or after a load was verified, during which each report received from the engine makes the agent
/// notify entries of the engine's version.
constexpr Milliseconds noticeDuration { 700 };

/// Body of a 404 for a piece that the answering agent waits for itself because the origin is out of reach.
constexpr std::string_view awaitedAnswer = "awaited";

/// Whether the engine has loaded all layers of `version`; false for version 0. Thread safe.
bool servesVersion(const EngineReport&, const ServedModel&, uint32_t version);

/// Must be used by the loop's thread only.
class AgentNode {
public:
    /// Preconditions: loop, adapter and log outlive the node; the settings are those of an agent.
    AgentNode(EventLoop&, const NodeSettings&, const ProtocolAdapter&, EventLog&);
    ~AgentNode();
    AgentNode(const AgentNode&) = delete;
    AgentNode& operator=(const AgentNode&) = delete;

    /// Opens the ports for peers and for metrics, and starts to poll the entries and the engine. Returns InvalidArgument
    /// when a listen address isn't an IP address, and Unavailable when a port can't be opened. After a failure nothing is
    /// polled; the port for peers stays open if only the port for metrics failed.
    absl::Status start();
    /// Replaces the bounds by those of a reloaded flag file.
    void reload(const ReloadableSettings&);
    /// Stops the loop at once: an agent has no work that must be finished first.
    void beginStop();

private:
    /// One slot for the download of a piece.
    struct Fetch {
        std::unique_ptr<HttpCaller> caller; ///< Keeps the connection to a peer for the next fetch; one to the origin is closed.
        bool isRunning = false;
        uint32_t piece = 0;
        uint32_t version = 0;
        bool isFromOrigin = false;
    };

    /// A peer's request for a piece, which is answered from the stage of this VM's engine.
    struct PieceRequest {
        std::shared_ptr<ServerExchange> exchange;
        uint32_t piece = 0;
        bool shouldVerify = true; ///< Whether the digest is checked before the piece is sent.
        bool isCrossRegion = false; ///< Whether the peer is in another region and then serves the piece there.
    };

    /// A peer's request for a manifest that this agent doesn't have yet.
    struct PendingManifestRequest {
        std::shared_ptr<ServerExchange> exchange;
        uint32_t version = 0;
        TimePoint expiresAt {}; ///< The time at which the request is answered with 404.
    };

    /// A peer's request for a piece that this agent doesn't have yet.
    struct PendingPieceRequest {
        PieceRequest pieceRequest;
        uint32_t version = 0;
        TimePoint expiresAt {}; ///< The time at which the request is answered with 404.
    };

    void scheduleTick();
    void tick();
    bool isSwitching() const;
    void answerMetrics(const std::shared_ptr<ServerExchange>&);
    void handleSummary(const ServiceSummary&);
    void handleEntriesLost(const std::string& reason);
    void requestReport();
    void handleReport(const EngineReport&, TimePoint now);
    void recordNamedVersion(const SummaryVersion&, BootTimePoint now);
    BootTimePoint newestNamedAt() const;
    Milliseconds supersessionBound() const;
    bool areVersionsInSuccession() const;
    bool isFetchHurried() const;
    AgentOrder agentOrder() const;
    bool hasOlderVersion() const;
    OlderVersion describeOlderVersion() const;
    bool shouldFinishOlderVersion() const;
    bool isFinishingOlderVersion() const;
    void noteManifestFailure(uint32_t version);
    void fetchManifestIfNeeded(uint32_t version);
    uint32_t wantedVersion() const;
    void fetchManifest();
    void handleManifest(const CallResult&, bool isFromPeer);
    absl::StatusOr<PieceManifest> readManifest(const CallResult&, bool isFromPeer) const;
    void beginManifest(PieceManifest);
    void dropOlderVersion(uint32_t newer);
    void cancelFetches();
    void cancelUploads();
    void replaceManifest(PieceManifest, bool isFromPeer);
    bool isStageEvidence() const;
    void startFetches(TimePoint now);
    std::vector<AgentPeer> listAgentPeers(uint32_t version) const;
    std::string originRegion() const;
    PieceSource currentSourceFor(uint32_t piece, const std::vector<AgentPeer>&) const;
    void startFetch(Fetch&, uint32_t piece, const PieceSource&);
    void finishFetch(Fetch&, const CallResult&);
    void noteFailedFetch(const Fetch&, const CallResult&, const std::string& digest);
    void recordPieceArrival(const Fetch&, const CallResult&, TimePoint now);
    void stagePiece(uint32_t piece, std::string bytes);
    void noteStaged();
    void logIfAllStaged();
    void verifyStagedPiece(uint32_t piece);
    void orderLoadWhenReady(TimePoint now);
    bool isSwitchDue(BootTimePoint now, bool isServing) const;
    bool isLoadSuperseded() const;
    void readBackPieces();
    PieceState stateOfReadPiece(uint32_t piece, const CallResult&) const;
    void finishReads(BatchState);
    void postponeReads(const char* reason);
    void orderLoad(Milliseconds timeout);
    void finishLoadOrder(const CallResult&, BootTimePoint sentAt);
    void abandonLoadOrder();
    void verifyDoubtedLayers();
    void finishVerification(BatchState);
    void judgeEarlierOrders();
    void guardLayers(LoadTrust earlier);
    void notifyEntries(uint32_t version);
    void withholdLayers();
    uint32_t unusableVersion() const;
    void sendNotice(EngineNotice);
    void answerPeerRequest(const std::shared_ptr<ServerExchange>&);
    void answerPieceRequest(PieceRequest);
    void answerPendingManifestRequests();
    void sendUnverifiedPiece(const std::shared_ptr<ServerExchange>&, uint32_t piece);
    void sendVerifiedPiece(const std::shared_ptr<ServerExchange>&, uint32_t piece);
    void enqueueUpload(PieceRequest);
    void sendNextUpload();
    void answerPendingPieceRequests(uint32_t piece);
    void refusePendingPieceRequests();
    void expirePendingRequests(TimePoint now);
    HttpCaller& idleEngineCaller();
    void shareConnectionMemory();

    EventLoop& loop;
    NodeSettings settings;
    const ProtocolAdapter& adapter;
    EventLog& log;
    Metrics metrics;
    LoopTimer timer;
    LoopTimer uploadTimer;
    CutOffReport cutOffReport;
    std::shared_ptr<ConnectionMemory> connectionMemory; ///< What peers and others make the process hold at all ports.
    AsyncHttpServer peerServer;
    AsyncHttpServer metricsServer;
    SummaryWatch summaryWatch;
    HttpCaller reportCaller;
    HttpCaller manifestCaller;
    HttpCaller orderCaller;
    std::vector<std::unique_ptr<HttpCaller>> engineCallers; ///< Callers of the engine, one for each concurrent call.
    NoticeSender noticeSender;
    std::vector<std::unique_ptr<Fetch>> fetches;
    FetchWindow fetchWindow;
    std::deque<PieceRequest> uploadQueue; ///< Requests for pieces to upload, in the order in which they are answered.
    TimePoint nextUploadAt {};
    std::vector<PendingPieceRequest> pendingPieceRequests; ///< Requests for pieces that are still being fetched.
    std::vector<PendingManifestRequest> pendingManifestRequests;

    // The last known state of the service and of the engine.
    std::optional<ServiceSummary> serviceSummary; ///< The newest service summary; unset until an entry has answered.
    bool areEntriesUnreachable = false; ///< Whether the last request to an entry failed.
    NamedVersions namedVersions;
    std::set<uint32_t> assumedNamings; ///< Those of them whose time all entries so far have only assumed.
    std::optional<EngineReport> engineReport;
    uint32_t peerRequestedVersion = 0; ///< The newest version that a peer has requested; zero: none.
    uint64_t noticeSequence = 0; ///< That of the last notice sent to entries; it rises from one process of the agent to the next.
    TimePoint noticeUntil {}; ///< Entries are notified of the engine's version until then.
    TimePoint repeatNoticeUntil {}; ///< Until when entries may still withhold the engine; they are notified with each report.
    TimePoint reportRequestedAt {}; ///< When the engine was last asked for its report.

    // The version that is being fetched.
    PieceManifest manifest;
    ManifestTrust manifestTrust;
    uint32_t requestedManifestVersion = 0; ///< The version whose manifest was last requested; zero: none.
    uint32_t manifestAttempts = 0; ///< Requests for that version's manifest; it selects the next source.
    TimePoint manifestRequestedAt {};
    uint32_t missingManifestVersion = 0; ///< The version whose manifest couldn't be had at the last request; zero: none.
    TimePoint manifestMissingSince {}; ///< When the first of the requests for it failed that all failed.
    TimePoint manifestBegunAt {}; ///< When the manifest was received.
    TimePoint firstStagedAt {}; ///< When the first piece of the version was staged; the default value if none was.
    bool isOriginAway = false; ///< Whether no piece has arrived since the origin was found to be out of reach.
    bool hasReachedOrigin = false; ///< Whether the origin has sent the last piece that it was asked for.
    std::vector<AgentPeer> agentsAtBegin; ///< The agents that were listed when the manifest was received.
    std::vector<bool> isPieceStaged; ///< By piece: whether it is on the engine's stage and its digest was verified.
    std::vector<bool> isPieceInProgress; ///< By piece: whether it is being fetched, written or read back.
    std::vector<uint32_t> failedSourceCounts; ///< By piece: number of sources that failed.
    std::vector<NotFoundAnswers> notFoundAnswers; ///< By piece: those of the current source.
    std::vector<TimePoint> earliestRetryAt; ///< By piece: earliest time of the next request.
    TimePoint loadOrderedAt {};
    uint32_t orderedVersion = 0; ///< The version that the engine was last ordered to load; zero: none.
    LoadOrderState loadOrder;
    bool areLayersFound = false; ///< Whether the engine may still have layers that an earlier process of the agent ordered.
};

} // namespace bilberry
