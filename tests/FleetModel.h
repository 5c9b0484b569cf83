/// A model of entries that share engines, for tests of what all entries together send. The entries use the code under test to
/// hear of each other and to choose an engine; messages between them, callers and engines are modelled.
#pragma once

#include "DispatchQueue.h"
#include "EndpointChoice.h"
#include "EngineModel.h"
#include "EngineShare.h"
#include "PeerTable.h"

#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace bilberry {

/// What is modelled. All times are in milliseconds.
struct FleetModelSettings {
    uint32_t entryCount = 5;
    uint32_t engineCount = 19;
    bool sharesEngines = true;
    double requestsPerSecond = 280; ///< Of all entries together.
    std::vector<double> demand; ///< Relative rate of each entry's callers; empty: all are equal.
    double burstEvery = 0; ///< Time between two bursts in which requests of several entries come at once; zero: none.
    uint32_t burstRequests = 0; ///< Number of requests of one burst at each entry.
    double reportInterval = 140; ///< Between two messages of an entry to the others.
    double longestDelay = 3; ///< Of a message.
    double lostShare = 0; ///< Share of the messages that are lost.
    double duration = 10'000;
    uint64_t seed = 1;
    bool statesLoad = true; ///< Whether engines state their load with the first event of an answer.
};

/// What callers got, and what engines had.
struct FleetModelResult {
    int requestCount = 0;
    int onTimeCount = 0; ///< Requests with a first event within the target latency.
    int lateCount = 0;
    int refusedCount = 0;
    int sentCount = 0;
    int overLimitCount = 0; ///< Requests that were sent to an engine without a free slot.
    int firstEventCount = 0;
    int statedOverLimitCount = 0; ///< First events with which an engine stated more requests than it has slots.
    uint32_t mostAtEngine = 0;
    double usedShare = 0; ///< Mean share of the slots that were running a request.
};

/// Used by one thread.
class FleetModel {
public:
    explicit FleetModel(const FleetModelSettings&);

    /// Runs the model. `onStep` is called each millisecond, before anything else happens in it.
    FleetModelResult run(const std::function<void(FleetModel&, double now)>& onStep = nullptr);
    /// Number of requests at an engine.
    uint32_t requestsAt(size_t engine) const;
    /// Number of an entry's requests at an engine, as the entry counts them.
    uint32_t requestsOf(size_t entry, size_t engine) const { return this->entries[entry].table.rows[engine].inFlight; }
    /// Whether the entry believes that it is home to the engine.
    bool isHome(size_t entry, size_t engine) const { return this->entries[entry].table.rows[engine].share.position == 0; }

    std::vector<char> isLost; ///< Entries that are gone. Their requests go on at the engines.
    std::vector<char> isPaused; ///< Entries that do nothing for now.
    std::vector<std::vector<char>> isCut; ///< Pairs of entries that don't hear each other: sender, then receiver.

private:
    struct ModelledEntry {
        std::string ip;
        EndpointTable table;
        PeerTable peers;
        EngineShareBasis basis;
        ServiceQueue queue;
        double nextReportAt = 0;
        uint64_t sequence = 0;
    };
    struct CallersRequest {
        ModelledRequest atEngine;
        size_t entry = 0;
        uint32_t engine = noEndpoint;
        double arrivedAt = 0;
        bool isRefused = false;
        bool isPresent = false; ///< Whether the request is at its engine.
    };
    struct Datagram {
        double dueAt = 0;
        size_t receiver = 0;
        std::string sender;
        PeerMessage message;
    };

    void deliverMessages(double now);
    void sendReports(double now);
    void updatePeerLoads(ModelledEntry&, TimePoint now);
    void finishRequests(double now);
    void noteFirstEvents(double now);
    void enqueueOrRefuse(size_t entry, CallersRequest&, double now);
    void acceptRequest(size_t entry, double now);
    void acceptRequests(double now);
    bool tryDispatch(size_t entry, CallersRequest&, double now);
    void dispatchWaiting(size_t entry, double now);
    FleetModelResult summarize() const;

    FleetModelSettings settings;
    std::mt19937_64 random;
    std::vector<ModelledEntry> entries;
    std::vector<ModelledEngine> engines;
    std::vector<uint32_t> present; ///< Number of requests at each engine.
    std::deque<CallersRequest> requests;
    std::vector<CallersRequest*> withoutFirstEvent;
    std::vector<Datagram> datagrams;
    FleetModelResult result;
    double nextArrivalAt = 0;
    double slotTime = 0; ///< Sum over all engines and milliseconds of the running requests.
};

} // namespace bilberry
