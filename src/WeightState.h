/// What the threads of a WeightAgent share. Only its own files include this.
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

/// One peer with regard to one model.
struct WeightPeer {
    std::string vm;
    std::string address;
    bool isSameRegion = true;
    bool isPolled = false;
    Holdings holdings; ///< As it last told.
    TimePoint lastProgress {};
    TimePoint nextPollAt {};
    uint32_t pollFailures = 0; ///< In a row.
};

/// One chunk to be fetched.
struct FetchJob {
    std::string model;
    std::string manifestDigest; ///< Of the version that the chunk is wanted for.
    ManifestChunk chunk;
    ChunkFetch fetch;
    bool isPaced = false; ///< It crosses regions.
    double bytesPerSecond = 0;
    double minBytesPerSecond = 0; ///< A slower transfer is given up.
};

/// The view of one model with what it was made from.
struct CachedTopology {
    PlacementPointer placement;
    std::string manifestDigest;
    DistributionTopology topology;
};

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
    TransferPacer regionIngressPacer; ///< Of what comes from other regions.
    TransferPacer uploadPacer; ///< Of chunks sent to peers.
    std::function<uint32_t()> countLiveRequests; ///< In progress at the back end; empty: not known.
    TransferQueue uploadQueue; ///< Of chunks sent to peers.
    std::atomic<uint64_t> receivedBytes { 0 };

    mutable std::mutex mutex; ///< Guards all below.
    std::condition_variable changed;
    bool isStopping = false;
    std::vector<WeightRow> rows;
    std::map<std::string, CachedTopology> topologies; ///< By model.
    std::map<std::pair<std::string, std::string>, WeightPeer> peers; ///< By model and VM.
    std::deque<FetchJob> fetchJobs;
    size_t fetchesInProgress = 0;
    size_t originFetches = 0;
    size_t otherRegionFetches = 0;
    std::map<std::string, uint32_t> fetchesByPeer; ///< By VM.
    std::map<std::string, TimePoint> peersBackedOffUntil; ///< By VM.
    std::map<ChunkSource, ObservedRate> observedRates;
    TimePoint originBackedOffUntil {};
    ObservedEngineState engineState;
    TimePoint resumedAt {}; ///< End of the last pause of this process.
    uint64_t lastFencingToken = 0;
    std::vector<std::thread> threads;

    /// Waits; false when the agent is stopping. Call without the lock.
    bool waitUnlessStopping(Milliseconds);
};

/// The threads' bodies; each returns when the agent is stopping.
void runFetchPlanner(WeightState&);
void runChunkFetcher(WeightState&);
void runPeerPoller(WeightState&);
void runLabelResolver(WeightState&);
void runEngineStateReader(WeightState&);
void runEngineOrders(WeightState&);

/// Makes a version the wanted one of its model, if it supersedes the one held. Call without the lock.
void offerVersion(WeightState&, const std::string& model, const std::string& label, Manifest, TimePoint confirmedAt);

/// What this process holds of the row's wanted version. Precondition: the lock is held.
Holdings ownHoldings(const WeightState&, const WeightRow&);

/// Keeps what a peer told. Precondition: the lock is held.
void recordHoldings(WeightPeer&, const Holdings&);

/// Adds headers with the sender's name and its holdings of the version with that manifest; only the name when it does not
/// want that version. Call without the lock.
void addHoldingsHeaders(WeightState&, const std::string& manifestDigest, HttpHeaders&);

/// Takes over what tellHoldings() added at a peer; gives the manifest's digest, empty when nothing was told. Call
/// without the lock.
std::string applyHoldingsHeaders(WeightState&, const HttpHeaders&);

/// Bodies of the threads that fetch, at a time.
constexpr size_t fetchThreadCount = 8;
constexpr size_t pollThreadCount = 3;

} // namespace bilberry
