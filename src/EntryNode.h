/// An entry on the event loop: what its requests share, and the systems that run over it each tick.
#pragma once

#include "ChannelPool.h"
#include "ClusterView.h"
#include "DispatchQueue.h"
#include "EventLog.h"
#include "HttpCall.h"
#include "LoopServer.h"
#include "Metrics.h"
#include "NodeSettings.h"
#include "PeerExchange.h"
#include "ProtocolAdapter.h"
#include "RetryWindow.h"
#include "ServiceSummary.h"
#include "StoreReplica.h"
#include "StoreWatch.h"

#include <memory>
#include <random>
#include <unordered_map>

namespace bilberry {

class ProxiedRequest;

/// How long news are told to the peers again and again.
constexpr Milliseconds gossipRepeatTime { 300 };

/// Used by the loop's thread only.
struct EntryNode {
    /// Preconditions: loop and log outlive the node.
    EntryNode(EventLoop&, const NodeSettings&, const ProtocolAdapter&, EventLog&);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    /// Opens the ports and starts to follow the store. Fails when a port can't be opened.
    absl::Status start();
    /// Takes in bounds that were reloaded.
    void reload(const NodeBounds&);
    /// Stops taking requests from new callers, finishes what runs, and then stops the loop.
    void beginStop();

    EventLoop& loop;
    NodeSettings settings;
    const ProtocolAdapter& adapter;
    EventLog& log;
    Metrics metrics;
    ClusterView clusterView;
    ChannelPool channels;
    DispatchQueues queues; ///< By service.
    std::unordered_map<std::string, RetryWindow> retryWindows; ///< By service.
    std::unordered_map<uint64_t, std::shared_ptr<ProxiedRequest>> activeRequests; ///< Requests that aren't answered yet, by number.
    uint64_t nextRequestNumber = 1;
    std::vector<uint64_t> requestsAwaitingConfiguration; ///< Runs that wait for the first configuration.
    CrashHistory crashes;
    RefusalHistory refusals; ///< Of all entries.
    RefusalHistory ownRefusals; ///< That the peers are told of.
    std::mt19937_64 random;
    /// News that the peers are told for a while.
    struct RecentCrash {
        CrashReport report;
        TimePoint until {};
    };
    struct RecentNotice {
        EngineNotice notice;
        TimePoint until {};
    };
    std::vector<RecentCrash> recentCrashes;
    std::vector<RecentNotice> recentNotices;
    bool hasChangesForPeers = false; ///< Since the peers were told.
    TimePoint stopRequestedAt = TimePoint::max();

    PeerExchange peers;

private:
    /// An agent that waits for news of its service.
    struct PendingSummaryRequest {
        std::shared_ptr<ServerExchange> exchange;
        std::string service;
        uint32_t newestKnownVersion = 0; ///< Version named last, as the agent knows.
        TimePoint until {};
    };

    void applyListing(const std::vector<StoreChange>&, BootTimePoint sentAt);
    void applyChanges(const std::vector<StoreChange>&, BootTimePoint sentAt);
    void handleStoreFailure(const std::string& reason, int failures);
    void confirmView(BootTimePoint sentAt);
    void applyChange(const StoreChange&, TimePoint now);
    void answerReadiness(const std::shared_ptr<ServerExchange>&);
    void answerMetrics(const std::shared_ptr<ServerExchange>&);
    void scheduleTick();
    void tick();
    void dispatchRequestsAwaitingConfiguration(TimePoint now);
    void fillPeerMessage(PeerMessage&);
    void applyPeerMessage(const PeerMessage&);
    void handleAgentNotice(const EngineNotice&);
    void applyNotice(const EngineNotice&);
    void answerPeerRequest(const std::shared_ptr<ServerExchange>&);
    void answerStoreDelta(const std::shared_ptr<ServerExchange>&);
    void handleSummaryRequest(const std::shared_ptr<ServerExchange>&);
    void answerDueSummaryRequests(TimePoint now);
    std::optional<ServiceSummary> makeSummary(const std::string& service, TimePoint now) const;
    void requestStoreDelta(TimePoint now);
    void applyStoreDelta(const CallResult&, const std::string& peer, BootTimePoint sentAt);
    void confirmViewByStore(BootTimePoint sentAt);
    void updatePeerLoads(TimePoint now);
    void stopWhenDone(TimePoint now);

    LoopServer callerServer;
    LoopServer readinessServer;
    LoopServer metricsServer;
    LoopServer peerServer;
    HttpCaller peerCaller;
    StoreReplica storeReplica;
    TimePoint deltaRequestedAt {};
    std::vector<PendingSummaryRequest> pendingSummaryRequests;
    bool usesPeerKnowledge = false;
    StoreWatch storeWatch;
    LoopTimer tickTimer;
    bool isStoreUnreachable = false;
};

/// Whether the entry should get new callers: it knows a configuration and endpoints, believes nothing too old, and isn't
/// stopping.
bool isReady(const EntryNode&, BootTimePoint now);
/// Whether a request that comes now can still be answered before the process ends. Thread safe.
bool acceptsRequests(const EntryNode&, TimePoint now);
/// Whether revocations of keys are known up to now, so that keyed requests can be let in.
bool knowsRevocations(const EntryNode&, BootTimePoint now);
/// Starts waiting requests of a service for which there is a free place now.
void dispatchWaitingRequests(EntryNode&, const std::string& service);
/// Notes requests that went down with an endpoint, and tells the peers.
void reportCrash(EntryNode&, const std::vector<uint64_t>& fingerprints, const std::string& endpointId, TimePoint now);
/// Entries that may share the fleet's budgets, this one included.
uint32_t entryCount(const EntryNode&);

} // namespace bilberry
