/// The state of an entry process that its requests share, and the periodic tasks that run in each tick of the event loop. In
/// a burst of load, requests that find no endpoint with free capacity wait in its queues.
#pragma once

#include "AsyncHttpServer.h"
#include "ChannelPool.h"
#include "ClusterView.h"
#include "ConnectionMemory.h"
#include "CutOffReport.h"
#include "DataCentreDistance.h"
#include "DemandTable.h"
#include "DispatchQueue.h"
#include "EngineShare.h"
#include "EventLog.h"
#include "HedgePolicy.h"
#include "HttpCall.h"
#include "LivenessChecks.h"
#include "Metrics.h"
#include "NodeSettings.h"
#include "PeerExchange.h"
#include "PeerReports.h"
#include "PromptSuspects.h"
#include "ProtocolAdapter.h"
#include "RankDemand.h"
#include "RetryWindow.h"
#include "ServiceSummary.h"
#include "StopSchedule.h"
#include "StoreReaders.h"
#include "StoreReplica.h"
#include "StoreWatch.h"

#include <memory>
#include <random>
#include <unordered_map>

namespace bilberry {

class ProxiedRequest;
struct EndpointChoice;

/// Used by the loop's thread only.
struct EntryNode {
    /// Preconditions: loop and log outlive the node.
    EntryNode(EventLoop&, const NodeSettings&, const ProtocolAdapter&, EventLog&);
    ~EntryNode();
    EntryNode(const EntryNode&) = delete;
    EntryNode& operator=(const EntryNode&) = delete;

    /// Opens the ports and starts to follow the store. Fails when a port can't be opened.
    absl::Status start();
    /// Replaces the bounds by reloaded ones.
    void reload(const ReloadableSettings&);
    /// Stops accepting requests from new callers, finishes the active requests or, when no time is left, answers that they may have
    /// run, and then stops the loop.
    void beginStop();
    /// Applies evidence about a part of a prompt, the own or that of a peer. Returns whether it changes what is known of the
    /// part.
    bool applyPartEvidence(const PartEvidence&, TimePoint now);
    /// See hasCurrentConfiguration().
    bool isConfigurationCurrent(TimePoint now) const;

    EventLoop& loop;
    NodeSettings settings;
    const ProtocolAdapter& adapter;
    EventLog& log;
    Metrics metrics;
    ClusterView clusterView;
    ChannelPool channels;
    LivenessChecks livenessChecks;
    DispatchQueues queues; ///< The queue of waiting requests; the key is the service.
    std::unordered_map<std::string, RankDemand> rankDemands; ///< Only of services with ranked routes; the key is the service.
    std::unordered_map<std::string, RetryWindow> retryWindows; ///< The key is the service.
    std::unordered_map<std::string, RetryWindow> hedgeWindows; ///< Hedged requests; the key is the service.
    std::unordered_map<std::string, AnswerDelays> answerDelays; ///< Only while requests may be hedged; the key is the route.
    uint32_t hedgesInProgress = 0; ///< Requests that have two attempts in progress.
    size_t bufferedResponseBytes = 0; ///< The bytes of endpoints' responses that are buffered until they are complete.
    std::unordered_map<uint64_t, std::shared_ptr<ProxiedRequest>> activeRequests; ///< Requests that aren't answered yet; the key is their number.
    uint64_t nextRequestNumber = 1;
    std::vector<uint64_t> requestsAwaitingConfiguration; ///< The numbers of requests that wait for the first configuration.
    CrashHistory crashes;
    PromptSuspects promptSuspects;
    DataCentreDistances distances; ///< What exchanges with endpoints show of the ways to the data centres.
    DemandTable demand; ///< The demand of client accounts, from which their shares follow.
    RefusalHistory refusals; ///< The refused requests of all entries.
    RefusalHistory ownRefusals; ///< The refused requests of this entry, which are reported to the peers.
    /// Seeded from the VM's name and the boot clock; used to choose services and endpoints and to spread retry delays.
    std::mt19937_64 random;
    PeerReports peerReports; ///< Events that are passed on to the peers.
    /// Whether there are changes since the last message to the peers. It is set with each new crash, notice or refusal and
    /// with each change of the load, and lets the next message be sent earlier.
    bool hasChangesForPeers = false;
    TimePoint stopRequestedAt = TimePoint::max(); ///< The maximum while no stop is requested.
    StopSchedule stopSchedule;

    TimePoint remoteSendLoggedAt {}; ///< When the log last showed a request that went to another data centre.
    TimePoint unreadableLoadLoggedAt {}; ///< When the log last showed an endpoint's load that can't be read.

    uint32_t nearPeers = 0; ///< The number of recently heard entries of this data centre.

    PeerExchange peers;

private:
    /// A request of an agent for a service summary. The answer is held until a newer version is named or `until` is reached.
    struct PendingSummaryRequest {
        std::shared_ptr<ServerExchange> exchange;
        std::string service;
        uint32_t newestKnownVersion = 0; ///< The newest named version that the agent knows.
        TimePoint until {};
        BootTimePoint receivedAt {};
    };

    void applyListing(const std::vector<StoreChange>&, const StoreVersion&, BootTimePoint sentAt);
    void applyChanges(const std::vector<StoreChange>&, BootTimePoint sentAt);
    void noteUnreadableItem(const std::string& key, uint64_t revision, const std::string& fault);
    void handleStoreFailure(const std::string& reason, int failures);
    void confirmView(BootTimePoint sentAt);
    void noteEra(uint64_t era, TimePoint now);
    void updateEarliestNamingTime(uint64_t era, TimePoint now);
    void applyChange(const StoreChange&, bool isListed, TimePoint now);
    void answerReadiness(const std::shared_ptr<ServerExchange>&);
    void answerMetrics(const std::shared_ptr<ServerExchange>&);
    void scheduleTick();
    void tick();
    void dispatchRequestsAwaitingConfiguration(TimePoint now);
    PeerExchangeHandlers makePeerHandlers();
    void fillPeerMessage(PeerMessage&, PeerMessageScope);
    void applyPeerMessage(const PeerMessage&);
    void applyEndpointEvents(const EndpointEvents&);
    void handleAgentNotice(const EngineNotice&);
    void applyNotice(const EngineNotice&);
    void applySlowEndpoint(uint32_t endpointHash, TimePoint now);
    void applySwitchingEngine(uint32_t endpointHash, TimePoint now);
    void answerPeerRequest(const std::shared_ptr<ServerExchange>&);
    void answerStoreDelta(const std::shared_ptr<ServerExchange>&);
    void handleSummaryRequest(const std::shared_ptr<ServerExchange>&);
    void answerDueSummaryRequests(TimePoint now);
    std::optional<ServiceSummary> makeSummary(const std::string& service, TimePoint now) const;
    void requestStoreDelta(TimePoint now);
    std::string peerToAsk(TimePoint now) const;
    void adoptView(const StoreDelta&, const std::string& peer, BootTimePoint confirmedAt, TimePoint now);
    void applyStoreDelta(const CallResult&, const std::string& peer, BootTimePoint sentAt);
    void confirmViewByStore(BootTimePoint sentAt);
    void updatePeerLoads(TimePoint now);
    void updateOwnEngineShares(const std::vector<std::string>& nearPeers, TimePoint now);
    void reportSlowEngines(TimePoint now);
    void chooseStoreReading(TimePoint now);
    void stopWhenDone(TimePoint now);
    void shareConnectionMemory();
    void setCallerLimits(ServerLimits);

    CutOffReport cutOffReport;
    std::shared_ptr<ConnectionMemory> connectionMemory; ///< What callers make the process hold at all ports.
    AsyncHttpServer callerServer;
    AsyncHttpServer readinessServer;
    AsyncHttpServer metricsServer;
    AsyncHttpServer peerServer;
    HttpCaller peerCaller;
    StoreReplica storeReplica;
    StoreReading storeReading;
    bool isReadingStore = true; ///< Whether this entry calls the store itself.
    EngineShareBasis engineShareBasis;
    TimePoint engineSharesLoggedAt {};
    TimePoint peerLoadsUpdatedAt {}; ///< When the loads of peers were last copied into the table of endpoints.
    TimePoint startedAt {};
    bool hasPeerAnswered = false; ///< Whether a peer has answered a request for a store delta since the start.
    TimePoint deltaRequestedAt {}; ///< When a peer was last asked for a store delta.
    TimePoint slowEnginesReportedAt {}; ///< When the engines were last checked for slow ones.
    std::vector<PendingSummaryRequest> pendingSummaryRequests;
    bool isViewFromPeer = false; ///< Whether the cluster view was last confirmed by a peer, not by the store.
    StoreWatch storeWatch;
    LoopTimer tickTimer;
    bool isStoreUnreachable = false;
};

/// Returns whether the entry is ready for new callers: it has a configuration and usable endpoints, its cluster view isn't
/// too old, and it isn't stopping.
bool isReady(const EntryNode&, BootTimePoint now);
/// Returns whether the entry has a configuration that it may use. Shortly after the start, it may not use the store's before
/// its peers have been asked for a newer one.
bool hasCurrentConfiguration(const EntryNode&, TimePoint now);
/// Returns whether new requests are accepted: always before a stop is requested, and after it for the time in which the load
/// balancer may still send some. Thread safe.
bool acceptsRequests(const EntryNode&, TimePoint now);
/// Returns whether the cluster view is recent enough for key revocations, so that requests with keys can be admitted.
/// Always true when the settings don't fail closed (`failsClosed`).
bool knowsRevocations(const EntryNode&, BootTimePoint now);
/// Counts and logs a choice of another data centre's endpoint; the log shows some of them only. Does nothing for other choices.
void noteRemoteSend(EntryNode&, const EndpointChoice&, TimePoint now);
/// Dispatches the waiting requests of a service for which an endpoint has free capacity now.
void dispatchWaitingRequests(EntryNode&, const std::string& service);
/// Records that an engine refused a request because of a version switch, and reports it to the peers.
void reportSwitchingEngine(EntryNode&, EndpointRow&, TimePoint now);
/// Returns the number of entries that are assumed to share the fleet's retry budget, the rate of requests to cold endpoints
/// and the slots of endpoints, this one included.
uint32_t entryCount(const EntryNode&);
/// Returns the number of entries of this data centre that were recently heard, this one included.
uint32_t nearEntryCount(const EntryNode&);

} // namespace bilberry
