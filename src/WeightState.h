/// The state that the threads of a WeightAgent share. Only the agent's own source files include this header.
#pragma once

#include "Activation.h"
#include "ChunkStore.h"
#include "DistributionTopology.h"
#include "Holdings.h"
#include "Node.h"
#include "PlacementCache.h"
#include "TransferPace.h"
#include "TransferPacer.h"
#include "TransferQueue.h"
#include "WeightSettings.h"
#include "WeightTable.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace bilberry {

/// What is known of one peer in respect of one model.
struct WeightPeer {
    std::string vm;
    std::string address;
    bool isSameRegion = true;
    bool isPolled = false; ///< It is polled for its holdings; those of other peers come with chunks and status reports.
    Holdings holdings; ///< The holdings that it last reported.
    TimePoint lastProgress {}; ///< When its received bytes or its version were last seen to change.
    TimePoint nextPollAt {};
    uint32_t pollFailures = 0; ///< Consecutive failures.
};

/// One chunk to fetch.
struct FetchJob {
    std::string model;
    std::string manifestDigest; ///< Manifest digest of the version that the chunk is wanted for.
    ManifestChunk chunk;
    ChunkFetch fetch;
    bool isPaced = false; ///< The chunk crosses regions, so the limit on region ingress applies.
    double bytesPerSecond = 0; ///< Pace, if isPaced.
    double minBytesPerSecond = 0; ///< A slower transfer is aborted.
};

/// The topology of one model, with the inputs from which it was computed.
struct CachedTopology {
    PlacementPointer placement;
    std::string manifestDigest;
    DistributionTopology topology;
};

/// The state of one agent. Members above `mutex` are constant after the start or thread safe themselves.
struct WeightState {
    explicit WeightState(Node& ownNode)
        : node(ownNode)
        , settings(readWeightSettings())
        , store(ownNode.settings.weightMemoryBytes)
    {
    }

    Node& node;
    const WeightSettings settings;
    ChunkStore store;
    PlacementCache placements;
    TransferPacer regionIngressPacer; ///< Paces what this VM fetches from other regions.
    TransferPacer uploadPacer; ///< Paces the chunks sent to peers.
    std::function<uint32_t()> countLiveRequests; ///< Returns the number of requests in progress at the back end; empty: not known.
    TransferQueue uploadQueue; ///< Orders the chunks sent to peers.
    std::atomic<uint64_t> receivedBytes { 0 }; ///< Chunk bytes received since the process started.

    mutable std::mutex mutex; ///< Guards all members below.
    std::condition_variable changed;
    bool isStopping = false;
    std::vector<WeightRow> rows;
    std::map<std::string, CachedTopology> topologies; ///< Keyed by model.
    std::map<std::pair<std::string, std::string>, WeightPeer> peers; ///< Keyed by model and VM.
    std::deque<FetchJob> fetchJobs;
    size_t fetchesInProgress = 0;
    size_t originFetches = 0;
    size_t otherRegionFetches = 0;
    std::map<std::string, uint32_t> fetchesByPeer; ///< Fetches in progress, keyed by VM.
    std::map<std::string, TimePoint> peersBackedOffUntil; ///< Time before which no new fetch from the VM starts, keyed by VM.
    std::map<ChunkSource, ObservedRate> observedRates;
    TimePoint originBackedOffUntil {};
    ObservedEngineState engineState;
    TimePoint resumedAt {}; ///< When the last pause of this process ended.
    uint64_t lastFencingToken = 0;
    std::vector<std::thread> threads;

    /// Waits for the given time; returns false at once when the agent is stopping. Call without the lock.
    bool waitUnlessStopping(Milliseconds);
};

/// The thread functions. Each returns when the agent is stopping.
void runFetchPlanner(WeightState&);
void runChunkFetcher(WeightState&);
void runPeerPoller(WeightState&);
void runLabelResolver(WeightState&);
void runEngineStateReader(WeightState&);
void runEngineOrders(WeightState&);

/// Makes a version the wanted one of its model if it was confirmed later than the present one. Call without the lock.
void offerVersion(WeightState&, const std::string& model, const std::string& label, Manifest, TimePoint confirmedAt);

/// The chunks that this process holds of the row's wanted version. Precondition: the lock is held.
Holdings ownHoldings(const WeightState&, const WeightRow&);

/// Stores the holdings that a peer reported. Precondition: the lock is held.
void recordHoldings(WeightPeer&, const Holdings&);

/// Adds headers with this VM's name and its holdings of the version with that manifest digest; only the name when that is
/// not a wanted version. Call without the lock.
void addHoldingsHeaders(WeightState&, const std::string& manifestDigest, HttpHeaders&);

/// Stores the holdings that addHoldingsHeaders() added at a peer. Returns their manifest digest, empty when the headers
/// contain no holdings. Call without the lock.
std::string applyHoldingsHeaders(WeightState&, const HttpHeaders&);

/// Number of threads that fetch chunks, hence of concurrent fetches.
constexpr size_t fetchThreadCount = 8;
/// Number of threads that poll peers.
constexpr size_t pollThreadCount = 3;

} // namespace bilberry
