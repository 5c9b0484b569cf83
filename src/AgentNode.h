/// A weights agent on the event loop: keeps the engine on its VM on the weights that operators have named.
#pragma once

#include "BootClock.h"
#include "Dialect.h"
#include "EventLog.h"
#include "HttpCall.h"
#include "LoopServer.h"
#include "Metrics.h"
#include "NodeSettings.h"
#include "NoticeSender.h"
#include "PieceSources.h"
#include "StoreWatch.h"
#include "VersionSwitch.h"

#include <deque>
#include <memory>
#include <vector>

namespace bilberry {

/// Longest time for an answer of the engine on the own VM.
constexpr Milliseconds engineTimeout { 2000 };
/// How often the list of endpoints is read while pieces are missing.
constexpr Milliseconds listInterval { 1000 };

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
    };

    /// A peer that waits for a piece.
    struct HeldRequest {
        std::shared_ptr<ServerExchange> exchange;
        uint32_t piece = 0;
        uint32_t version = 0;
        TimePoint until {};
    };

    void armTick();
    void tick();
    void answerMetrics(const std::shared_ptr<ServerExchange>&);
    void readConfiguration();
    void readEndpoints();
    void readReport();
    void takeReport(const EngineReport&, TimePoint now);
    void takeNamed(const std::vector<StoreChange>&, bool isListing);
    TimePoint newestNamedAt() const;
    void choosePiecesFor(uint32_t version, TimePoint now);
    uint32_t wantedVersion() const;
    void fetchManifest();
    void takeManifest(const CallResult&, bool isFromPeer);
    void startFetches(TimePoint now);
    const ServiceRule* originService() const;
    PieceSource sourceOf(uint32_t piece, const std::vector<AgentPeer>&);
    void startFetch(Fetch&, uint32_t piece, const PieceSource&);
    void endFetch(Fetch&, const CallResult&);
    void stage(uint32_t piece, std::string bytes);
    void checkStaged(uint32_t piece);
    void orderWhenReady(TimePoint now);
    bool isMyTurn(TimePoint now) const;
    void order();
    void tellEntries(uint32_t version);
    void answerPeer(const std::shared_ptr<ServerExchange>&);
    void answerPiece(const std::shared_ptr<ServerExchange>&, uint32_t piece);
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
    StoreWatch watch;
    HttpCaller storeCaller;
    HttpCaller reportCaller;
    HttpCaller manifestCaller;
    std::vector<std::unique_ptr<HttpCaller>> localCallers; ///< To the engine, as many as are used at a time.
    NoticeSender noticeSender;
    std::vector<std::unique_ptr<Fetch>> fetches;
    std::deque<Upload> uploads; ///< To peers, in the order in which they leave.
    TimePoint nextUploadAt {};
    std::vector<HeldRequest> held; ///< Peers that wait for a piece which is on its way.

    // What is believed.
    std::shared_ptr<const RouteTable> configuration;
    ServedModel model;
    std::vector<EndpointRecord> endpoints;
    bool hasEndpoints = false; ///< Whether a whole list was read.
    TimePoint endpointsAt {}; ///< When that was asked for last.
    TimePoint configurationAskedAt {};
    NamedVersions named;
    bool hasNamed = false; ///< Whether the store was read for named versions.
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
