#define BOOST_TEST_MODULE Membership
#include "Membership.h"

#include "Backoff.h"
#include "ExchangeMessage.h"
#include "PeerChoice.h"
#include "Rendezvous.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <numeric>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace bilberry;

static constexpr Milliseconds recentAge { 1000 };
static constexpr Milliseconds silentAge { 6000 };

BOOST_AUTO_TEST_CASE(membershipSourcesHaveAPrecedence)
{
    struct Row {
        const char* name;
        MembershipSignals signals; // Configured, listed, listed leaving, configured leaving, age, reports leaving.
        MemberState expected;
    };
    const Row rows[] = {
        { "outside the configuration", { false, true, false, false, recentAge, false }, MemberState::Removed },
        { "all say live", { true, true, false, false, recentAge, false }, MemberState::Active },
        { "the list lags behind a new VM", { true, false, false, false, recentAge, false }, MemberState::Active },
        { "the list lags behind a dead VM", { true, true, false, false, silentAge, false }, MemberState::Suspect },
        { "never heard", { true, true, false, false, std::nullopt, false }, MemberState::Suspect },
        { "its own report says leaving", { true, true, false, false, recentAge, true }, MemberState::Leaving },
        { "operators remove it", { true, true, false, true, recentAge, false }, MemberState::Leaving },
        { "the platform removes it", { true, true, true, false, recentAge, false }, MemberState::Leaving },
    };
    for (const auto& row : rows)
        BOOST_TEST((classifyMember(row.signals) == row.expected), row.name);
}

RC_BOOST_PROP(oneLeavingSourceMakesAVmLeaving, (bool isListed, bool byList, bool byOperators, bool byItself, uint16_t age))
{
    MembershipSignals signals { true, isListed, byList, byOperators, Milliseconds(age), byItself };
    RC_ASSERT((classifyMember(signals) == MemberState::Leaving) == (byList || byOperators || byItself));
}

// Makes a fleet of `regions` regions with two data centres each.
static Inventory makeInventory(size_t regions, size_t vmsPerDataCentre)
{
    Inventory inventory;
    for (size_t i = 0; i < 2 * regions; ++i) {
        inventory.dataCentres.push_back({ "dc-" + std::to_string(i), "region-" + std::to_string(i / 2) });
        for (size_t vm = 0; vm < vmsPerDataCentre; ++vm) {
            Vm row;
            row.name = "vm-" + std::to_string(i) + "-" + std::to_string(vm);
            row.dataCentre = static_cast<RowIndex>(i);
            inventory.vms.push_back(row);
        }
    }
    return inventory;
}

static bool isAlwaysUsable(RowIndex)
{
    return true;
}

RC_BOOST_PROP(exchangesPerRoundDoNotGrowWithTheFleet, ())
{
    auto inventory = makeInventory(*rc::gen::inRange<size_t>(1, 3), *rc::gen::inRange<size_t>(1, 60));
    auto own = *rc::gen::inRange<RowIndex>(0, static_cast<RowIndex>(inventory.vms.size()));
    std::set<RowIndex> dead;
    for (int i = 0; i < 5; ++i)
        dead.insert(*rc::gen::inRange<RowIndex>(0, static_cast<RowIndex>(inventory.vms.size())));
    auto isUsable = [&](RowIndex vm) { return dead.count(vm) == 0; };
    size_t asked = 0;
    constexpr size_t rounds = 64;
    for (uint64_t round = 0; round < rounds; ++round) {
        auto peers = choosePeers(inventory, own, round, isUsable);
        asked += peers.size();
        RC_ASSERT(std::count(peers.begin(), peers.end(), own) == 0);
    }
    // A process asks one peer per round, and in each eighth round one more, of another data centre of its region.
    RC_ASSERT(asked <= rounds + rounds / 8);
    auto announced = chooseAnnouncePeers(inventory, own, 7, isUsable);
    RC_ASSERT(std::set<RowIndex>(announced.begin(), announced.end()).size() == announced.size());
    RC_ASSERT(announced.size() <= 6);
}

// Calls the function for each exchange of a round in which all processes work, with the process that asks and its peer.
template <typename Visit>
static void visitExchanges(const Inventory& inventory, uint64_t round, Visit visit)
{
    for (RowIndex own = 0; own < inventory.vms.size(); ++own) {
        for (RowIndex peer : choosePeers(inventory, own, round, isAlwaysUsable))
            visit(own, peer);
    }
}

static bool crossesRegions(const Inventory& inventory, RowIndex own, RowIndex peer)
{
    return !inSameRegion(inventory, inventory.vms[own].dataCentre, inventory.vms[peer].dataCentre);
}

BOOST_AUTO_TEST_CASE(onlyRelaysExchangeWithOtherRegions)
{
    auto inventory = makeInventory(2, 40);
    std::set<RowIndex> relays;
    for (uint64_t round = 0; round < 32; ++round) {
        visitExchanges(inventory, round, [&](RowIndex own, RowIndex peer) {
            if (crossesRegions(inventory, own, peer))
                relays.insert(own);
        });
    }
    BOOST_TEST(relays.size() == 4 * relaysPerDataCentre);
}

// Returns the number of rounds until all processes know of a change that the process `own` reports or, with announcements,
// hold a document that it has adopted.
static uint64_t roundsUntilAllKnow(const Inventory& inventory, RowIndex own, uint64_t firstRound, bool isAnnounced)
{
    constexpr uint64_t maxRounds = 60;
    std::set<RowIndex> informed { own };
    uint64_t round = firstRound;
    for (; informed.size() < inventory.vms.size() && round < firstRound + maxRounds; ++round) {
        auto before = informed;
        visitExchanges(inventory, round, [&](RowIndex vm, RowIndex peer) {
            if (before.count(vm) + before.count(peer) > 0)
                informed.insert({ vm, peer });
        });
        for (RowIndex vm : isAnnounced ? before : std::set<RowIndex>()) {
            auto receivers = chooseAnnouncePeers(inventory, vm, round * 1000 + vm, isAlwaysUsable);
            informed.insert(receivers.begin(), receivers.end());
        }
    }
    return round - firstRound;
}

// Guards against reports that reach the other regions late in a small fleet, here 3 regions of one data centre each. All
// processes must know of a report within 3 s, which are 6 rounds at two rounds per second.
BOOST_AUTO_TEST_CASE(aReportReachesTheOtherRegionsOfASmallFleet)
{
    auto inventory = makeInventory(3, 6);
    for (size_t i = 0; i < inventory.dataCentres.size(); ++i)
        inventory.dataCentres[i].region = "region-" + std::to_string(i);
    inventory.vms.resize(18);
    uint64_t most = 0;
    for (uint64_t firstRound = 0; firstRound < 64; ++firstRound)
        most = std::max(most, roundsUntilAllKnow(inventory, static_cast<RowIndex>(firstRound % inventory.vms.size()), firstRound, false));
    BOOST_TEST_MESSAGE("rounds until all know: " << most);
    BOOST_TEST(most <= 6U);
}

// Returns the size in bytes of both messages of an exchange that covers this many VMs without a changed report.
static size_t exchangeBytes(size_t vms)
{
    constexpr size_t headAndFramingBytes = 400 + 100;
    ExchangeMessage message;
    message.vm = "eu-central-b-entry-100";
    message.dataCentre = "eu-central-b";
    message.coveredVmsHash = UINT64_MAX;
    message.digest = packDigest(std::vector<DigestEntry>(vms));
    for (auto& version : message.documents)
        version = { 1'000'000, std::string(versionDigestLength, 'a') };
    return 2 * (toText(message).size() + headAndFramingBytes);
}

// Guards against control traffic that exceeds 25 kB/s per process, both ways together, in a fleet of 932 VMs: 4 data centres
// with 233 VMs each.
BOOST_AUTO_TEST_CASE(controlBytesOfTheTargetFleetStayUnderTheTarget)
{
    constexpr double targetBytesPerSecond = 25'000;
    constexpr double roundsPerSecond = 2;
    constexpr uint64_t rounds = 128;
    auto inventory = makeInventory(2, 233);
    const auto partialBytes = static_cast<double>(exchangeBytes(233));
    const auto wholeBytes = static_cast<double>(exchangeBytes(inventory.vms.size()));
    std::vector<double> bytes(inventory.vms.size(), 0);
    double crossing = 0; // Bytes between the regions, each way.
    for (uint64_t round = 0; round < rounds; ++round) {
        visitExchanges(inventory, round, [&](RowIndex own, RowIndex peer) {
            auto size = coversOneDataCentre(inventory) ? partialBytes : wholeBytes;
            bytes[own] += size;
            bytes[peer] += size;
            crossing += crossesRegions(inventory, own, peer) ? size / 2 : 0;
        });
    }
    double mean = std::accumulate(bytes.begin(), bytes.end(), 0.0) * roundsPerSecond / rounds / static_cast<double>(bytes.size());
    double most = *std::max_element(bytes.begin(), bytes.end()) * roundsPerSecond / rounds;
    BOOST_TEST_MESSAGE("bytes a second, both ways: mean " << mean << ", most " << most);
    BOOST_TEST_MESSAGE("bytes a second between the regions, each way: " << crossing * roundsPerSecond / rounds);
    BOOST_TEST(most <= targetBytesPerSecond);
}

// The time of each VM's report at each process, as exchanges refresh it.
struct ReportTimes {
    const Inventory& inventory;
    std::vector<std::vector<int64_t>> reportedAt; // Indexed by process, then by VM.
    int64_t clock = 0; // Simulated time: increases by one each time a single process does its exchanges.

    void exchange(RowIndex own, RowIndex peer)
    {
        bool isPartial = coversOneDataCentre(this->inventory);
        for (RowIndex vm = 0; vm < this->inventory.vms.size(); ++vm) {
            if (isPartial && this->inventory.vms[vm].dataCentre != this->inventory.vms[peer].dataCentre)
                continue;
            auto freshest = std::max(this->reportedAt[own][vm], this->reportedAt[peer][vm]);
            this->reportedAt[own][vm] = this->reportedAt[peer][vm] = freshest;
        }
    }
};

BOOST_AUTO_TEST_CASE(reportsOfTheTargetFleetAreFreshEverywhere)
{
    constexpr double secondsPerRound = 0.5;
    constexpr uint64_t startRounds = 64;
    auto inventory = makeInventory(2, 233);
    auto size = inventory.vms.size();
    // The fleet has run for startRounds before the ages are sampled. Each process has its own phase within the round.
    std::vector<RowIndex> order(size);
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](RowIndex a, RowIndex b) { return hashText(inventory.vms[a].name) < hashText(inventory.vms[b].name); });
    ReportTimes ages { inventory, std::vector<std::vector<int64_t>>(size, std::vector<int64_t>(size, 0)) };
    std::vector<double> samples;
    for (uint64_t round = 0; round < startRounds + 16; ++round) {
        for (RowIndex own : order) {
            ages.reportedAt[own][own] = ++ages.clock;
            for (RowIndex peer : choosePeers(inventory, own, round, isAlwaysUsable))
                ages.exchange(own, peer);
        }
        for (size_t own = 0; round >= startRounds && own < size; ++own) {
            for (auto reportedAt : ages.reportedAt[own])
                samples.push_back(static_cast<double>(ages.clock - reportedAt) / static_cast<double>(size) * secondsPerRound);
        }
    }
    std::sort(samples.begin(), samples.end());
    double high = samples[samples.size() * 95 / 100];
    BOOST_TEST_MESSAGE("age of reports in seconds: median " << samples[samples.size() / 2] << ", 95 of 100 " << high << ", most " << samples.back());
    BOOST_TEST(high <= 6);
    BOOST_TEST(samples.back() <= std::chrono::duration<double>(reportLifetime).count());
}

BOOST_AUTO_TEST_CASE(documentPropagationRoundsGrowAtMostLogarithmically)
{
    // A document must reach all processes within 4 s, which are 8 rounds of 0.5 s.
    std::map<size_t, uint64_t> rounds;
    for (size_t vms : { 2, 8, 32, 128, 233 }) {
        rounds[vms] = roundsUntilAllKnow(makeInventory(2, vms), 0, 0, true);
        BOOST_TEST(rounds[vms] <= 8U, vms << " VMs a data centre: " << rounds[vms]);
    }
    BOOST_TEST(rounds[233] <= rounds[8] + 5); // This is log2(233 / 8), rounded up.
}

// Returns the VMs that hold a watch while all processes work.
static std::vector<RowIndex> findWatchers(const Inventory& inventory)
{
    std::vector<RowIndex> watchers;
    for (RowIndex dataCentre = 0; dataCentre < inventory.dataCentres.size(); ++dataCentre) {
        std::vector<WatchCandidate> candidates;
        for (const auto& vm : inventory.vms) {
            if (vm.dataCentre == dataCentre)
                candidates.push_back({ vm.name, false });
        }
        for (const auto& name : chooseWatchers(candidates))
            watchers.push_back(findRow(inventory.vms, name));
    }
    return watchers;
}

// Returns the number of announcement steps from the process that reads a document to the last usable process, when each
// process announces the document as soon as it gets it; nothing when an announcement does not reach all of them.
template <typename IsUsable>
static std::optional<int> countAnnouncementSteps(const Inventory& inventory, RowIndex reader, uint64_t seed, size_t usable, IsUsable isUsable)
{
    std::vector<RowIndex> last { reader };
    std::set<RowIndex> reached { reader };
    int steps = 0;
    for (; reached.size() < usable && !last.empty(); ++steps) {
        std::vector<RowIndex> next;
        for (RowIndex own : last) {
            for (RowIndex peer : chooseAnnouncePeers(inventory, own, seed + own, isUsable)) {
                if (isUsable(peer) && reached.insert(peer).second)
                    next.push_back(peer);
            }
        }
        last = std::move(next);
    }
    return reached.size() == usable ? std::optional(steps) : std::nullopt;
}

RC_BOOST_PROP(announcementsAloneReachAllUsableVms, (uint64_t seed))
{
    auto inventory = makeInventory(2, *rc::gen::inRange<size_t>(2, 60));
    std::set<RowIndex> dead;
    for (int i = 0; i < 5; ++i)
        dead.insert(*rc::gen::inRange<RowIndex>(1, static_cast<RowIndex>(inventory.vms.size())));
    auto isUsable = [&](RowIndex vm) { return dead.count(vm) == 0; };
    RC_ASSERT(countAnnouncementSteps(inventory, 0, seed, inventory.vms.size() - dead.size(), isUsable).has_value());
}

BOOST_AUTO_TEST_CASE(announcementStepsGrowAtMostLogarithmically)
{
    double before = 0;
    for (size_t vms : { 8, 16, 32, 64, 128, 233 }) {
        auto inventory = makeInventory(2, vms);
        double sum = 0;
        auto readers = findWatchers(inventory);
        for (RowIndex reader : readers)
            sum += countAnnouncementSteps(inventory, reader, reader * inventory.vms.size(), inventory.vms.size(), isAlwaysUsable).value();
        double steps = sum / static_cast<double>(readers.size());
        before = before == 0 ? steps : before;
        BOOST_TEST_MESSAGE(4 * vms << " VMs: " << steps << " steps");
        BOOST_TEST(steps <= before + std::log2(static_cast<double>(vms) / 8)); // One more step for each doubling.
    }
}

BOOST_AUTO_TEST_CASE(watchersAreFewAndAreReplacedOnFailure)
{
    std::vector<WatchCandidate> candidates;
    candidates.reserve(30);
    for (int i = 0; i < 30; ++i)
        candidates.push_back({ "vm-" + std::to_string(i), false });
    auto watchers = chooseWatchers(candidates);
    BOOST_TEST(watchers.size() == watchersPerDataCentre);
    auto markLacksService = [&](const std::string& name) {
        for (auto& candidate : candidates)
            candidate.lacksService = candidate.lacksService || candidate.vm == name;
    };
    markLacksService(watchers[0]);
    auto others = chooseWatchers(candidates);
    BOOST_TEST(others.size() == watchersPerDataCentre);
    BOOST_TEST(std::count(others.begin(), others.end(), watchers[0]) == 0);
    for (const auto& candidate : candidates)
        markLacksService(candidate.vm);
    BOOST_TEST(chooseWatchers(candidates).size() == maxWatcherCandidates);
}

RC_BOOST_PROP(callRateStaysBoundedWhenAFleetStartsWhileTheServiceIsDown, (uint64_t seed))
{
    // 930 processes without a configuration read two documents each and get errors for ten minutes.
    constexpr int readers = 2 * 930;
    constexpr size_t seconds = 600;
    std::vector<int> calls(seconds, 0);
    for (int reader = 0; reader < readers; ++reader) {
        Backoff backoff { Milliseconds(500), Milliseconds(4000), 0 };
        uint64_t random = seed + static_cast<uint64_t>(reader) * 0x9E3779B97F4A7C15ULL;
        auto next = [&] { return random = random * 6364136223846793005ULL + 1442695040888963407ULL, random >> 20; };
        auto callAt = Milliseconds(next() % 1000);
        while (callAt < Seconds(seconds)) {
            ++calls[static_cast<size_t>(std::chrono::duration_cast<Seconds>(callAt).count())];
            callAt += nextBackoffDelay(backoff, next());
        }
    }
    // The first second has the first call of every process and some early second calls; the rate falls after it.
    for (size_t second = 5; second < seconds; ++second)
        RC_ASSERT(calls[second] <= 2000);
    RC_ASSERT(calls[0] + calls[1] + calls[2] + calls[3] + calls[4] <= 5 * 2000);
}
