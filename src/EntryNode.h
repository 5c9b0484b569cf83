/// An entry on the event loop: what its requests share, and the systems that run over it each tick.
#pragma once

#include "Belief.h"
#include "ChannelPool.h"
#include "Dialect.h"
#include "DispatchQueue.h"
#include "EventLog.h"
#include "HttpCall.h"
#include "LoopServer.h"
#include "Metrics.h"
#include "NodeSettings.h"
#include "PeerExchange.h"
#include "RepeatBudget.h"
#include "ServiceBrief.h"
#include "StoreCopy.h"
#include "StoreWatch.h"

#include <memory>
#include <random>
#include <unordered_map>

namespace bilberry {

class RequestRun;

/// How long news are told to the peers again and again.
constexpr Milliseconds newsTime { 300 };

/// Used by the loop's thread only.
struct EntryNode {
    /// Preconditions: loop and log outlive the node.
    EntryNode(EventLoop&, const NodeSettings&, const Dialect&, EventLog&);
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
    const Dialect& dialect;
    EventLog& log;
    Metrics metrics;
    Belief belief;
    ChannelPool channels;
    DispatchQueues queues; ///< By service.
    std::unordered_map<std::string, RepeatCounts> repeats; ///< By service.
    std::unordered_map<uint64_t, std::shared_ptr<RequestRun>> runs; ///< Requests that aren't answered yet, by number.
    uint64_t nextRun = 1;
    std::vector<uint64_t> unadmitted; ///< Runs that wait for the first configuration.
    CrashLedger crashes;
    RefusalLedger refusals; ///< Of all entries.
    RefusalLedger ownRefusals; ///< That the peers are told of.
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
    bool hasLoadChanged = false; ///< Since the peers were told.
    TimePoint stopRequestedAt = TimePoint::max();

    PeerExchange peers;

private:
    /// An agent that waits for news of its service.
    struct HeldBrief {
        std::shared_ptr<ServerExchange> exchange;
        std::string service;
        uint32_t newest = 0; ///< Version named last, as the agent knows.
        TimePoint until {};
    };

    void takeListing(const std::vector<StoreChange>&, BootTimePoint sentAt);
    void takeChanges(const std::vector<StoreChange>&, BootTimePoint sentAt);
    void takeFailure(const std::string& reason, int failures);
    void confirm(BootTimePoint sentAt);
    void apply(const StoreChange&, TimePoint now);
    void answerReady(const std::shared_ptr<ServerExchange>&);
    void answerMetrics(const std::shared_ptr<ServerExchange>&);
    void armTick();
    void tick();
    void proceedUnadmitted(TimePoint now);
    void describeTo(PeerMessage&);
    void takePeerMessage(const PeerMessage&);
    void takeNotice(const EngineNotice&);
    void applyNotice(const EngineNotice&);
    void answerPeer(const std::shared_ptr<ServerExchange>&);
    void answerExcerpt(const std::shared_ptr<ServerExchange>&);
    void answerBrief(const std::shared_ptr<ServerExchange>&);
    void answerDueBriefs(TimePoint now);
    std::optional<ServiceBrief> makeBrief(const std::string& service, TimePoint now) const;
    void askPeer(TimePoint now);
    void takeExcerpt(const CallResult&, const std::string& peer, BootTimePoint sentAt);
    void confirmByStore(BootTimePoint sentAt);
    void takePeerLoads(TimePoint now);
    void stopWhenDone(TimePoint now);

    LoopServer callers;
    LoopServer balancer;
    LoopServer scrapers;
    LoopServer peerServer;
    HttpCaller peerCaller;
    StoreCopy copy;
    TimePoint peerAskedAt {};
    std::vector<HeldBrief> heldBriefs;
    bool livesFromPeers = false;
    StoreWatch watch;
    LoopTimer timer;
    bool isStoreLost = false;
};

/// Whether the entry should get new callers: it knows a configuration and endpoints, believes nothing too old, and isn't
/// stopping.
bool isReady(const EntryNode&, BootTimePoint now);
/// Whether a request that comes now can still be answered before the process ends. Thread safe.
bool takesRequests(const EntryNode&, TimePoint now);
/// Whether revocations of keys are known up to now, so that keyed requests can be let in.
bool knowsRevocations(const EntryNode&, BootTimePoint now);
/// Starts waiting requests of a service for which there is a free place now.
void startWaiting(EntryNode&, const std::string& service);
/// Notes requests that went down with an endpoint, and tells the peers.
void reportCrash(EntryNode&, const std::vector<uint64_t>& fingerprints, const std::string& endpointId, TimePoint now);
/// Entries that may share the fleet's budgets, this one included.
uint32_t entryCount(const EntryNode&);

} // namespace bilberry
