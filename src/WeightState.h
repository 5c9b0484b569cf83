/// What the threads of a WeightAgent share. Only its own files include this.
#pragma once

#include "Activation.h"
#include "ChunkStore.h"
#include "Holdings.h"
#include "Node.h"
#include "PlacementCache.h"
#include "SpreadView.h"
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
    TimePoint nextPoll {};
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
    double slowestBytesPerSecond = 0; ///< A slower transfer is given up.
};

/// The view of one model with what it was made from.
struct CachedView {
    PlacementPointer placement;
    std::string manifestDigest;
    SpreadView view;
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
    TransferPacer regionPacer; ///< Of what comes from other regions.
    TransferPacer uploadPacer; ///< Of chunks sent to peers.
    std::function<uint32_t()> liveRequests; ///< In progress at the back end; empty: not known.
    TransferQueue uploadQueue; ///< Of chunks sent to peers.
    std::atomic<uint64_t> receivedBytes { 0 };

    mutable std::mutex mutex; ///< Guards all below.
    std::condition_variable changed;
    bool isStopping = false;
    std::vector<WeightRow> rows;
    std::map<std::string, CachedView> views; ///< By model.
    std::map<std::pair<std::string, std::string>, WeightPeer> peers; ///< By model and VM.
    std::deque<FetchJob> jobs;
    size_t fetchesInProgress = 0;
    size_t originFetches = 0;
    size_t regionFetches = 0;
    std::map<std::string, uint32_t> fetchesByPeer; ///< By VM.
    std::map<std::string, TimePoint> backOffs; ///< By VM.
    std::map<ChunkSource, SeenRate> seenRates;
    TimePoint originBackedOffUntil {};
    EngineReadBack readBack;
    TimePoint wokenAt {}; ///< End of the last pause of this process.
    uint64_t lastFencing = 0;
    std::vector<std::thread> threads;

    /// Waits; false when the agent is stopping. Call without the lock.
    bool waitOrStop(Milliseconds);
};

/// The threads' bodies; each returns when the agent is stopping.
void runPlanner(WeightState&);
void runFetcher(WeightState&);
void runPoller(WeightState&);
void runResolver(WeightState&);
void runReadBack(WeightState&);
void runOrders(WeightState&);

/// Makes a version the wanted one of its model, if it supersedes the one held. Call without the lock.
void offerVersion(WeightState&, const std::string& model, const std::string& label, Manifest, TimePoint confirmedAt);

/// What this process holds of the row's wanted version. Precondition: the lock is held.
Holdings ownHoldings(const WeightState&, const WeightRow&);

/// Keeps what a peer told. Precondition: the lock is held.
void noteHoldings(WeightPeer&, const Holdings&);

/// Adds headers with the sender's name and its holdings of the version with that manifest; only the name when it does not
/// want that version. Call without the lock.
void tellHoldings(WeightState&, const std::string& manifestDigest, HttpHeaders&);

/// Takes over what tellHoldings() added at a peer; gives the manifest's digest, empty when nothing was told. Call
/// without the lock.
std::string takeToldHoldings(WeightState&, const HttpHeaders&);

/// Bodies of the threads that fetch, at a time.
constexpr size_t fetchThreads = 8;
constexpr size_t pollThreads = 3;

} // namespace bilberry
