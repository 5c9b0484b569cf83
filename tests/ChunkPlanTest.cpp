/// Tests which chunks are fetched and from where, partly in a simulation of a small fleet, and the pacing of transfers to peers.
#define BOOST_TEST_MODULE ChunkPlan
#include "ChunkPlan.h"
#include "DistributionTopology.h"
#include "TransferPace.h"
#include "TransferQueue.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck/boost_test.h>

using namespace bilberry;

namespace {

constexpr Milliseconds stepDuration { 50 };
constexpr Milliseconds backoffDuration { 3000 };
constexpr size_t slots = 8;

/// One fetch in progress.
struct SimulatedFetch {
    ChunkFetch fetch;
    TimePoint endsAt;
    bool succeeds = true;
};

struct SimulatedVm {
    std::string name;
    int region = 0;
    bool isDead = false;
    std::vector<ChunkState> chunks;
    std::vector<ChunkRoute> routes;
    std::vector<SimulatedFetch> fetches;
    std::map<std::string, TimePoint> backedOffUntil;
    TimePoint lastProgress {};

    bool isComplete() const
    {
        return std::all_of(this->chunks.begin(), this->chunks.end(), [](const ChunkState& chunk) { return chunk.isHeld; });
    }
};

/// Faults of one simulation run.
struct Faults {
    int lossPercent = 0; ///< Share of fetches that fail, in percent.
    int deadVms = 0; ///< Number of VMs that fail once some chunks have been distributed.
    int originSteps = 4; ///< Longest time that the origin takes for a chunk, in steps.
};

struct Simulation {
    std::mt19937 random;
    Faults faults;
    TimePoint now {};
    std::vector<std::string> digests;
    std::vector<SimulatedVm> vms;
    size_t originFetches = 0;
    size_t startedFetches = 0;
    std::map<std::pair<int, size_t>, size_t> arrivalsFromOtherRegions; ///< By region and chunk: fetches completed from other regions.

    Simulation(unsigned seed, size_t chunkCount, std::vector<int> regionSizes, Faults faults)
        : random(seed)
        , faults(faults)
    {
        this->digests.reserve(chunkCount);
        for (size_t i = 0; i < chunkCount; ++i)
            this->digests.push_back("sha256:" + std::to_string(seed) + "-" + std::to_string(i));
        for (size_t region = 0; region < regionSizes.size(); ++region) {
            std::vector<std::string> names;
            names.reserve(static_cast<size_t>(regionSizes[region]));
            for (int i = 0; i < regionSizes[region]; ++i)
                names.push_back("vm-" + std::to_string(region) + "-" + std::to_string(i));
            for (const auto& name : names)
                this->vms.push_back({ name, static_cast<int>(region), false, std::vector<ChunkState>(chunkCount, { false, false, this->now }), makeRoutes(this->digests, names, name), {}, {}, {} });
        }
        this->setSources();
    }

    /// Sets the sources of all routes: each region gets each chunk from the VM that brings it into the previous region.
    void setSources()
    {
        for (auto& vm : this->vms) {
            for (size_t chunk = 0; chunk < this->digests.size(); ++chunk) {
                for (const auto& other : this->vms) {
                    if (other.region >= vm.region || other.routes[chunk].rank > 0)
                        continue;
                    if (other.region == vm.region - 1)
                        vm.routes[chunk].source = other.name;
                    else
                        vm.routes[chunk].upstream.push_back(other.name);
                }
            }
        }
    }

    SimulatedVm* findVm(const std::string& name)
    {
        auto found = std::find_if(this->vms.begin(), this->vms.end(), [&](const SimulatedVm& vm) { return vm.name == name; });
        return found == this->vms.end() ? nullptr : &*found;
    }

    std::vector<ChunkPeer> peersOf(SimulatedVm& own)
    {
        std::vector<ChunkPeer> peers;
        for (auto& other : this->vms) {
            if (other.name == own.name)
                continue;
            ChunkPeer peer { other.name, "", other.region == own.region, {}, 0, own.backedOffUntil[other.name], other.lastProgress };
            for (const auto& chunk : other.chunks)
                peer.chunks.push_back(chunk.isHeld);
            for (const auto& running : own.fetches)
                peer.fetchesInProgress += running.fetch.peerVm == other.name ? 1 : 0;
            peers.push_back(peer);
        }
        return peers;
    }

    void finishFetch(SimulatedVm& vm, const SimulatedFetch& ended)
    {
        size_t chunk = ended.fetch.chunk;
        vm.chunks[chunk].isInProgress = false;
        SimulatedVm* source = this->findVm(ended.fetch.peerVm);
        bool hasArrived = ended.succeeds && !(source && source->isDead);
        if (hasArrived) {
            vm.chunks[chunk].isHeld = true;
            vm.lastProgress = this->now;
            if (ended.fetch.source == ChunkSource::OtherRegion)
                ++this->arrivalsFromOtherRegions[{ vm.region, chunk }];
        } else if (source) {
            vm.backedOffUntil[ended.fetch.peerVm] = this->now + backoffDuration;
        }
    }

    void startFetches(SimulatedVm& vm)
    {
        auto peers = this->peersOf(vm);
        size_t origin = 0;
        size_t region = 0;
        for (const auto& running : vm.fetches) {
            origin += running.fetch.source == ChunkSource::Origin ? 1 : 0;
            region += running.fetch.source == ChunkSource::OtherRegion ? 1 : 0;
        }
        updateHeldInOtherRegion(vm.chunks, peers, this->now);
        ChunkPlanInput input { vm.chunks, vm.routes, this->digests, peers, vm.name, vm.region == 0, true, origin, region };
        for (auto& fetch : planFetches(input, slots - vm.fetches.size(), this->now)) {
            BOOST_REQUIRE(!vm.chunks[fetch.chunk].isHeld && !vm.chunks[fetch.chunk].isInProgress);
            vm.chunks[fetch.chunk].isInProgress = true;
            this->originFetches += fetch.source == ChunkSource::Origin ? 1 : 0;
            ++this->startedFetches;
            bool succeeds = static_cast<int>(this->random() % 100) >= this->faults.lossPercent;
            int longest = fetch.source == ChunkSource::Origin ? this->faults.originSteps : 4;
            auto time = stepDuration * (1 + static_cast<int>(this->random() % static_cast<unsigned>(longest)));
            vm.fetches.push_back({ fetch, this->now + time, succeeds });
        }
        BOOST_REQUIRE_LE(vm.fetches.size(), slots);
    }

    void tick()
    {
        this->now += stepDuration;
        std::shuffle(this->vms.begin(), this->vms.end(), this->random);
        for (auto& vm : this->vms) {
            if (vm.isDead)
                continue;
            for (size_t i = 0; i < vm.fetches.size();) {
                if (vm.fetches[i].endsAt > this->now) {
                    if (vm.fetches[i].succeeds)
                        vm.lastProgress = this->now;
                    ++i;
                    continue;
                }
                auto ended = vm.fetches[i];
                vm.fetches.erase(vm.fetches.begin() + static_cast<std::ptrdiff_t>(i));
                this->finishFetch(vm, ended);
            }
            this->startFetches(vm);
        }
    }

    /// Runs until all VMs that haven't failed hold all chunks; returns whether that happened within the limit.
    bool run(Milliseconds limit)
    {
        auto end = this->now + limit;
        int failuresLeft = this->faults.deadVms;
        while (this->now < end) {
            this->tick();
            bool isFailureDue = failuresLeft > 0 && this->startedFetches > this->digests.size();
            if (isFailureDue) {
                this->vms[this->random() % this->vms.size()].isDead = true;
                --failuresLeft;
            }
            bool areAllComplete = std::all_of(this->vms.begin(), this->vms.end(), [](const SimulatedVm& vm) { return vm.isDead || vm.isComplete(); });
            if (areAllComplete && failuresLeft == 0)
                return true;
        }
        return false;
    }
};

} // namespace

RC_BOOST_PROP(withoutFaultsEachChunkLeavesTheOriginOnceAndEntersEachRegionOnce, ())
{
    std::vector<int> regions { *rc::gen::inRange(1, 6), *rc::gen::inRange(1, 6), *rc::gen::inRange(1, 6) };
    auto chunks = *rc::gen::inRange<size_t>(1, 40);
    Simulation simulation(*rc::gen::arbitrary<unsigned>(), chunks, regions, { 0, 0, *rc::gen::inRange(1, 100) });
    RC_ASSERT(simulation.run(Milliseconds(300'000)));
    RC_ASSERT(simulation.originFetches == chunks);
    RC_ASSERT(simulation.startedFetches == chunks * simulation.vms.size());
    for (const auto& [regionAndChunk, count] : simulation.arrivalsFromOtherRegions)
        RC_ASSERT(count == 1U);
}

RC_BOOST_PROP(withLostFetchesAndFailedVmsTheRemainingVmsBecomeCompleteInABoundedNumberOfFetches, ())
{
    std::vector<int> regions { *rc::gen::inRange(2, 6), *rc::gen::inRange(2, 6), *rc::gen::inRange(2, 6) };
    auto chunks = *rc::gen::inRange<size_t>(4, 40);
    Faults faults { *rc::gen::inRange(0, 30), *rc::gen::inRange(0, 4) };
    Simulation simulation(*rc::gen::arbitrary<unsigned>(), chunks, regions, faults);
    RC_ASSERT(simulation.run(Milliseconds(300'000)));
    // With faults the target is at most four copies of each chunk from the origin, and a bounded number of tries of each fetch.
    RC_ASSERT(simulation.originFetches <= 4 * chunks);
    RC_ASSERT(simulation.startedFetches <= 4 * chunks * simulation.vms.size());
}

// The only peer, which is the route's first VM, holds the chunk but is in a backoff. This VM must then fetch the chunk from the
// origin, and from the peer again once the backoff has ended.
BOOST_AUTO_TEST_CASE(aChunkWhoseHoldersAreAllInABackoffIsFetchedFromTheOrigin)
{
    TimePoint now { Milliseconds(10'000) };
    std::vector<ChunkState> chunks { { false, false, now } };
    std::vector<std::string> digests { "sha256:a" };
    std::vector<ChunkRoute> routes { { 1, { "other" }, {}, {} } };
    std::string own = "own";
    std::vector<ChunkPeer> peers { { "other", "o:1", true, { true }, 0, now + backoffDuration, now } };
    ChunkPlanInput input { chunks, routes, digests, peers, own, true, true, 0, 0 };
    auto fetches = planFetches(input, slots, now);
    BOOST_REQUIRE_EQUAL(fetches.size(), 1U);
    BOOST_TEST((fetches[0].source == ChunkSource::Origin));
    peers[0].backedOffUntil = now;
    BOOST_TEST((planFetches(input, slots, now).at(0).source == ChunkSource::SameRegion));
}

BOOST_AUTO_TEST_CASE(aPredecessorThatMakesProgressIsWaitedForAndOneThatDoesNotIsReplaced)
{
    TimePoint now { Milliseconds(100'000) };
    std::vector<ChunkState> chunks { { false, false, now - Milliseconds(60'000) } };
    std::vector<std::string> digests { "sha256:a" };
    std::vector<ChunkRoute> routes { { 1, { "holder" }, {}, {} } };
    std::string own = "own";
    std::vector<ChunkPeer> peers { { "holder", "h:1", true, { false }, 0, {}, now - takeoverDelay / 2 } };
    ChunkPlanInput input { chunks, routes, digests, peers, own, true, true, 0, 0 };
    BOOST_TEST(planFetches(input, slots, now).empty());
    BOOST_TEST(planFetches(input, slots, now + takeoverDelay).size() == 1U);
}

// The takeover delay counts from the time at which the route's source has the chunk, also when the chunk has been wanted for a
// long time before. The origin is not asked while an upstream VM or the source may still make progress.
BOOST_AUTO_TEST_CASE(theTakeoverDelayCountsFromWhenTheSourceHasTheChunkAndTheOriginIsNotAskedDuringProgress)
{
    TimePoint now { Milliseconds(100'000) };
    std::vector<ChunkState> chunks { { false, false, now - Milliseconds(60'000) } };
    std::vector<std::string> digests { "sha256:a" };
    std::vector<ChunkRoute> routes { { 1, { "holder" }, "source", {} } };
    std::string own = "own";
    std::vector<ChunkPeer> peers { { "holder", "h:1", true, { false }, 0, {}, {} }, { "source", "s:1", false, { true }, 0, {}, {} } };
    ChunkPlanInput input { chunks, routes, digests, peers, own, false, true, 0, 0 };
    updateHeldInOtherRegion(chunks, peers, now);
    BOOST_TEST(planFetches(input, slots, now).empty());
    updateHeldInOtherRegion(chunks, peers, now + takeoverDelay);
    BOOST_TEST((planFetches(input, slots, now + takeoverDelay).at(0).source == ChunkSource::OtherRegion));
    routes[0] = { 0, {}, "source", { "holder" } };
    peers[1].chunks[0] = false;
    peers[1].lastProgress = now - takeoverDelay * 2;
    updateHeldInOtherRegion(chunks, peers, now);
    BOOST_TEST(planFetches(input, slots, now).empty());
    BOOST_TEST((planFetches(input, slots, now + takeoverDelay).at(0).source == ChunkSource::Origin));
}

// This VM has rank 0 for all chunks, and no peer holds any. With four or more peers in the region it fetches one chunk at a time
// from the origin, else three.
BOOST_AUTO_TEST_CASE(inALargeRegionAVmFetchesOneChunkAtATimeFromTheOrigin)
{
    TimePoint now { Milliseconds(10'000) };
    std::vector<std::string> digests { "sha256:a", "sha256:b", "sha256:c", "sha256:d" };
    std::vector<ChunkState> chunks(digests.size(), { false, false, now });
    std::vector<ChunkRoute> routes(digests.size());
    std::string own = "own";
    std::vector<ChunkPeer> peers(3, { "other", "o:1", true, {}, 0, {}, {} });
    ChunkPlanInput input { chunks, routes, digests, peers, own, true, true, 0, 0 };
    BOOST_TEST(planFetches(input, slots, now).size() == 3U);
    peers.push_back(peers[0]);
    BOOST_TEST(planFetches(input, slots, now).size() == 1U);
    input.originFetches = 1;
    BOOST_TEST(planFetches(input, slots, now).empty());
}

// There are twelve chunks with one source each. This VM brings in eight of them, and takes over next for the other four.
RC_BOOST_PROP(theVmsThatAreWaitedForArePolledFirst, (const std::string& own))
{
    DistributionTopology view;
    view.isOriginNear = false;
    for (uint32_t chunk = 0; chunk < 12; ++chunk) {
        auto name = std::to_string(chunk);
        view.routes.push_back({ chunk < 4 ? 1U : 0U, {}, "source-" + name, {} });
        view.originFetchers.push_back({ "entry-" + name });
        view.members.push_back({ "near-" + name, {}, true });
        view.members.push_back({ "other-" + name, {}, true });
        if (chunk < 4)
            view.routes[chunk].predecessors = { "near-" + name };
    }
    auto polled = choosePolledMembers(view, std::vector<ChunkState>(12), own);
    for (int chunk = 0; chunk < 12; ++chunk)
        RC_ASSERT(polled.count((chunk < 4 ? "near-" : "source-") + std::to_string(chunk)) == 1U);
    RC_ASSERT(polled.size() == 12U + 8U);
}

RC_BOOST_PROP(transfersToOtherRegionsGoFirstThenTheOldest, (const std::vector<bool>& crossing))
{
    RC_PRE(!crossing.empty());
    std::vector<WaitingTransfer> waiting;
    for (size_t i = 0; i < crossing.size(); ++i)
        waiting.push_back({ i, crossing[i] });
    std::shuffle(waiting.begin(), waiting.end(), std::mt19937(static_cast<unsigned>(crossing.size())));
    const WaitingTransfer& next = waiting[chooseNextTransfer(waiting)];
    for (const auto& other : waiting) {
        RC_ASSERT(next.crossesRegions || !other.crossesRegions);
        RC_ASSERT(next.crossesRegions != other.crossesRegions || next.ticket <= other.ticket);
    }
}

BOOST_AUTO_TEST_CASE(receiversThatStallDelayTheOthersForABoundedTime)
{
    TransferQueue queue;
    auto begin = Clock::now();
    for (size_t i = 0; i < maxConcurrentTransfers; ++i)
        queue.acquireSlot(false);
    BOOST_TEST((Clock::now() - begin < maxTransferWait));
    queue.acquireSlot(true);
    BOOST_TEST((Clock::now() - begin >= maxTransferWait));
    for (size_t i = 0; i < maxConcurrentTransfers; ++i)
        queue.releaseSlot();
    begin = Clock::now();
    queue.acquireSlot(false);
    BOOST_TEST((Clock::now() - begin < maxTransferWait));
}

RC_BOOST_PROP(aTransferFromASharedSourceIsAcceptedAndAFarSlowerOneIsAborted, (const std::vector<uint16_t>& transferMilliseconds))
{
    constexpr uint64_t chunkBytes = 65536;
    // An origin that sends 4 MiB in 8 s and divides its bandwidth equally among 16, 32 or 48 receivers must not count as too
    // slow.
    for (int receivers : { 16, 32, 48 })
        RC_ASSERT(minAcceptedRate({}) <= 4.0 * 1024 * 1024 / 8 / receivers);
    ObservedRate rate;
    for (uint16_t milliseconds : transferMilliseconds)
        recordTransfer(rate, chunkBytes, Milliseconds(milliseconds + 1));
    double slowRate = rate.bytesPerSecond / 20;
    RC_ASSERT(slowRate < minAcceptedRate(rate));
    for (int tries = 0; tries < 20; ++tries)
        recordAbortedTransfer(rate);
    RC_ASSERT(minAcceptedRate(rate) <= minAcceptedRate({}));
}

RC_BOOST_PROP(transfersAreSlowedOnlyWhileRequestsAreInProgress, (uint32_t requestsInProgress, uint32_t maxBytesPerSecond))
{
    double share = *rc::gen::inRange(-10, 20) / 10.0;
    auto idle = chooseTransferPace({ 0, static_cast<double>(maxBytesPerSecond), share });
    auto underLoad = chooseTransferPace({ requestsInProgress, static_cast<double>(maxBytesPerSecond), share });
    RC_ASSERT(idle.bytesPerSecond == maxBytesPerSecond);
    RC_ASSERT(underLoad.pieceBytes > 0U);
    if (requestsInProgress == 0) {
        RC_ASSERT(underLoad.bytesPerSecond == maxBytesPerSecond);
        return;
    }
    RC_ASSERT(underLoad.pieceBytes < idle.pieceBytes);
    RC_ASSERT(underLoad.bytesPerSecond <= maxBytesPerSecond);
    // A rate of 0 means unbounded, so it may result only from an unbounded setting.
    RC_ASSERT((underLoad.bytesPerSecond > 0) == (maxBytesPerSecond > 0));
    if (share >= 0.1 && share <= 1)
        RC_ASSERT(underLoad.bytesPerSecond == maxBytesPerSecond * share);
}
