#define BOOST_TEST_MODULE DemandTable
#include <boost/test/unit_test.hpp>

#include "DemandTable.h"
#include "DispatchQueue.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };

EntryConfigurationPointer makeConfiguration(size_t accountCount, bool hasRankedRoutes = true)
{
    auto configuration = std::make_shared<EntryConfiguration>();
    configuration->services.resize(1);
    configuration->services[0].name = "writer";
    configuration->services[0].hasRankedRoutes = hasRankedRoutes;
    for (size_t i = 0; i < accountCount; ++i) {
        ClientAccount account;
        account.name = "account-" + std::to_string(i);
        configuration->accounts.push_back(account);
    }
    return configuration;
}

DemandTable makeTable(const EntryConfigurationPointer& configuration, const std::string& dataCentre = "a")
{
    DemandTable table;
    table.ownDataCentre = dataCentre;
    setConfiguration(table, configuration);
    return table;
}

uint32_t hashOf(size_t account)
{
    return accountHash("writer", "account-" + std::to_string(account));
}

AccountDemandRow& rowOf(DemandTable& table, size_t account)
{
    return *findAccountDemand(table, hashOf(account));
}

/// A load on a fleet of entries whose endpoints are one pool.
struct Load {
    std::vector<double> requestsPerSecond; ///< By account.
    std::vector<double> laterRequestsPerSecond; ///< From `changeAt` on; as before if it is empty.
    double changeAt = 10'000; ///< In milliseconds, like all times.
    double end = 20'000;
    size_t places = 72; ///< Requests that the endpoints run at the same time.
    std::vector<size_t> entriesByDataCentre { 1 };
    double lossAt = 1e9; ///< When the last entry is lost.
    bool isFirstEntryCut = false; ///< Whether the first entry and half of the others don't hear each other.
    double urgentPart = 0; ///< Part of the requests that are on a route of higher priority.
    bool usesShares = true; ///< Whether accounts beyond their shares go last; otherwise all go in order of arrival.
};

/// What callers get in a span of time.
struct Served {
    std::vector<double> asked; ///< Engine time by account, in milliseconds.
    std::vector<double> served;
    double askedLarge = 0; ///< Of the largest tenth of the last account's requests.
    double servedLarge = 0;
    double askedOthers = 0; ///< Of the last account's other requests.
    double servedOthers = 0;
    double askedUrgent = 0; ///< Of the last account's urgent requests.
    double servedUrgent = 0;
    double askedUrgentOfAll = 0; ///< Of all urgent requests.
    double servedUrgentOfAll = 0;

    double part(size_t account) const { return this->served[account] / this->asked[account]; }
    double partOfAll() const { return std::accumulate(this->served.begin(), this->served.end(), 0.0) / std::accumulate(this->asked.begin(), this->asked.end(), 0.0); }
    /// Part of what the accounts but the last ask for that they get.
    double partOfSmall() const
    {
        return std::accumulate(this->served.begin(), this->served.end() - 1, 0.0) / std::accumulate(this->asked.begin(), this->asked.end() - 1, 0.0);
    }
    double leastPartOfSmall() const
    {
        double least = 1;
        for (size_t i = 0; i + 1 < this->asked.size(); ++i)
            least = std::min(least, this->part(i));
        return least;
    }
};

struct ModelledRequest {
    size_t account = 0;
    double arrivedAt = 0;
    double work = 0; // Time for which it occupies a place.
    RequestRank rank;
    bool isServed = false;
};

struct ModelledEntry {
    std::string ip;
    DemandTable demand;
    ServiceQueue queue;
};

constexpr double smallWork = 80;
constexpr double largeWork = 280;
constexpr Milliseconds maxWait { 250 };

/// The entries, their callers and their endpoints. Each millisecond is a step.
class Fleet {
public:
    explicit Fleet(const Load& load)
        : load(load)
    {
        auto configuration = makeConfiguration(load.requestsPerSecond.size());
        for (size_t dataCentre = 0; dataCentre < load.entriesByDataCentre.size(); ++dataCentre) {
            for (size_t i = 0; i < load.entriesByDataCentre[dataCentre]; ++i)
                this->entries.push_back({ std::to_string(this->entries.size()), makeTable(configuration, std::to_string(dataCentre)), {} });
        }
        this->alive = this->entries.size();
    }

    void run()
    {
        for (int step = 0; step < this->load.end; ++step) {
            this->now = step;
            if (this->now == this->load.lossAt)
                this->loseEntry();
            if (step % 20 == 0)
                this->tick();
            if (step % 40 == 0)
                this->sendNear();
            if (step % 400 == 0)
                this->sendRemote();
            this->finishRequests();
            this->addArrivals();
            this->dispatchWaiting();
        }
    }

    /// Requests that arrived within the span, of which the last ones have had time to be served.
    Served servedBetween(double from, double to) const
    {
        Served result;
        result.asked.resize(this->load.requestsPerSecond.size());
        result.served.resize(this->load.requestsPerSecond.size());
        for (const auto& request : this->requests) {
            if (request.arrivedAt < from || request.arrivedAt >= std::min(to, this->load.end - 500))
                continue;
            double served = request.isServed ? request.work : 0;
            result.asked[request.account] += request.work;
            result.served[request.account] += served;
            bool isUrgent = request.rank.route == 0;
            result.askedUrgentOfAll += isUrgent ? request.work : 0;
            result.servedUrgentOfAll += isUrgent ? served : 0;
            if (request.account + 1 < result.asked.size())
                continue;
            (request.work == largeWork ? result.askedLarge : result.askedOthers) += request.work;
            (request.work == largeWork ? result.servedLarge : result.servedOthers) += served;
            result.askedUrgent += isUrgent ? request.work : 0;
            result.servedUrgent += isUrgent ? served : 0;
        }
        return result;
    }

    /// Part of the places that were in use in the span.
    double usedPart(double from, double to) const
    {
        double used = 0;
        for (auto step = static_cast<size_t>(from); step < static_cast<size_t>(to); ++step)
            used += static_cast<double>(this->usedPlaces[step]);
        return used / (to - from) / static_cast<double>(this->load.places);
    }

    /// Time after `from` from which no entry holds the account to be beyond its share, for as long as the load lasts.
    double timeUntilWithinShare(double from) const { return this->lastBeyondAt < from ? 0 : this->lastBeyondAt - from; }

private:
    TimePoint time() const { return start + Milliseconds(static_cast<int64_t>(this->now)); }

    // The callers of a lost entry get no answer; later requests go to the others.
    void loseEntry() { --this->alive; }

    bool isCut(size_t first, size_t second) const
    {
        auto other = std::max(first, second);
        return this->load.isFirstEntryCut && std::min(first, second) == 0 && other % 2 == 1;
    }

    void tick()
    {
        for (size_t i = 0; i < this->alive; ++i) {
            auto& entry = this->entries[i];
            entry.demand.services[0].isWaiting = !entry.queue.waiting.empty();
            updateShares(entry.demand, this->time());
            if (rowOf(entry.demand, this->load.requestsPerSecond.size() - 1).isBeyondShare)
                this->lastBeyondAt = this->now;
        }
    }

    void deliver(size_t from, size_t to, const DemandReport& report)
    {
        if (isEmpty(report) || this->isCut(from, to))
            return;
        auto decoded = decodeDemandReport(encodeDemandReport(report));
        applyDemandReport(this->entries[to].demand, this->entries[from].ip, *decoded, this->time());
    }

    void sendNear()
    {
        for (size_t from = 0; from < this->alive; ++from) {
            auto report = makeDemandReport(this->entries[from].demand, PeerMessageScope::Near, this->time());
            for (size_t to = 0; to < this->alive; ++to) {
                if (to != from && this->entries[to].demand.ownDataCentre == this->entries[from].demand.ownDataCentre)
                    this->deliver(from, to, report);
            }
        }
    }

    // The first entry of each data centre sends its sum to the first one of each other.
    void sendRemote()
    {
        std::map<std::string, size_t> firsts;
        for (size_t i = 0; i < this->alive; ++i)
            firsts.emplace(this->entries[i].demand.ownDataCentre, i);
        for (const auto& [fromDataCentre, from] : firsts) {
            auto report = makeDemandReport(this->entries[from].demand, PeerMessageScope::Remote, this->time());
            for (const auto& [toDataCentre, to] : firsts) {
                if (to != from)
                    this->deliver(from, to, report);
            }
        }
    }

    void finishRequests()
    {
        auto ended = std::remove_if(this->endTimes.begin(), this->endTimes.end(), [&](double at) { return at <= this->now; });
        this->endTimes.erase(ended, this->endTimes.end());
        this->usedPlaces.push_back(this->endTimes.size());
    }

    bool hasFreePlace() const { return this->endTimes.size() < this->load.places; }

    void dispatch(ModelledEntry& entry, size_t number)
    {
        auto& request = this->requests[number];
        request.isServed = true;
        this->endTimes.push_back(this->now + request.work);
        recordDispatch(entry.queue, this->time());
        addToRate(rowOf(entry.demand, request.account).used, request.work, this->time());
    }

    static CountedRequest counted(const ModelledRequest& request) { return { request.rank, FractionalMilliseconds(request.work) }; }

    void refuse(ModelledEntry& entry, size_t number)
    {
        const auto& request = this->requests[number];
        noteRefused(entry.demand, rowOf(entry.demand, request.account), counted(request), this->time());
    }

    void addArrivals()
    {
        bool hasChanged = this->now >= this->load.changeAt && !this->load.laterRequestsPerSecond.empty();
        const auto& rates = hasChanged ? this->load.laterRequestsPerSecond : this->load.requestsPerSecond;
        for (size_t account = 0; account < rates.size(); ++account) {
            auto count = std::poisson_distribution<int>(rates[account] / 1000)(this->random);
            for (int i = 0; i < count; ++i)
                this->addRequest(account);
        }
    }

    void addRequest(size_t account)
    {
        bool isLarge = this->random() % 10 == 0;
        auto& entry = this->entries[this->random() % this->alive];
        size_t number = this->requests.size();
        RequestRank rank;
        rank.route = std::bernoulli_distribution(this->load.urgentPart)(this->random) ? 0 : 1;
        this->requests.push_back({ account, this->now, isLarge ? largeWork : smallWork, rank, false });
        auto& row = rowOf(entry.demand, account);
        noteAsked(entry.demand, row, counted(this->requests[number]), this->time());
        rank.isBeyondShare = this->load.usesShares && givesWay(entry.demand, row, rank);
        auto wait = expectedQueueWait(entry.queue, rank, this->time());
        size_t ahead = countAhead(entry.queue, rank);
        if (ahead == 0 && this->hasFreePlace())
            this->dispatch(entry, number);
        else if (ahead > 0 && wait != Milliseconds::max() && wait > maxWait)
            this->refuse(entry, number);
        else
            enqueueRequest(entry.queue, { number, rank, this->time(), this->time() + maxWait });
    }

    // Entries find a free place in no particular order.
    void dispatchWaiting()
    {
        for (size_t i = 0; i < this->alive; ++i) {
            for (const auto& expired : takeExpiredRequests(this->entries[i].queue, this->time()))
                this->refuse(this->entries[i], expired.requestNumber);
        }
        for (size_t misses = 0; this->hasFreePlace() && misses < 4 * this->alive;) {
            auto& entry = this->entries[this->random() % this->alive];
            if (entry.queue.waiting.empty()) {
                ++misses;
                continue;
            }
            auto number = entry.queue.waiting.front().requestNumber;
            removeWaitingRequest(entry.queue, number);
            this->dispatch(entry, number);
        }
    }

    const Load& load;
    double now = 0;
    std::mt19937_64 random { 20261206 };
    std::vector<ModelledEntry> entries;
    size_t alive = 0; // The entries from this position on are lost.
    std::vector<ModelledRequest> requests;
    std::vector<double> endTimes;
    std::vector<size_t> usedPlaces; // By step.
    double lastBeyondAt = -1;
};

/// 23 accounts ask for 30 requests per second each, and the last one for `requestsOfLarge`. There is room for 720.
std::vector<double> unevenAccounts(double requestsOfLarge)
{
    std::vector<double> rates(23, 30.0);
    rates.push_back(requestsOfLarge);
    return rates;
}

Served serve(const Load& load)
{
    Fleet fleet(load);
    fleet.run();
    return fleet.servedBetween(2000, load.end);
}

} // namespace

// Load: an account asks for ten times its share while 23 ask for theirs, 1.4 times what there is room for.
BOOST_AUTO_TEST_CASE(accountsThatAskForTheirSharesGetThem)
{
    Load load;
    load.requestsPerSecond = unevenAccounts(300);
    load.end = 40'000;
    Fleet fleet(load);
    fleet.run();
    auto withShares = fleet.servedBetween(2000, load.end);
    load.usesShares = false;
    auto byArrival = serve(load);
    BOOST_TEST_MESSAGE("small " << withShares.partOfSmall() << " (least " << withShares.leastPartOfSmall() << "), large " << withShares.part(23) << ", all " << withShares.partOfAll() << "; by arrival: small " << byArrival.partOfSmall() << ", large " << byArrival.part(23));
    BOOST_TEST(byArrival.partOfSmall() < 0.8);
    BOOST_TEST(withShares.partOfSmall() > 0.9);
    BOOST_TEST(withShares.leastPartOfSmall() > 0.85);
    // The large one has the rest, and its callers are served at least a quarter as often as all.
    BOOST_TEST(fleet.usedPart(2000, load.end) > 0.97);
    BOOST_TEST(withShares.part(23) > withShares.partOfAll() / 4);
}

// Load: the demand of 24 accounts falls off as the power 1.2 of their rank, and is 1.6 times what there is room for.
BOOST_AUTO_TEST_CASE(noAccountOfAnUnevenCrowdIsStarved)
{
    Load load;
    double sum = 0;
    for (int rank = 24; rank >= 1; --rank) {
        load.requestsPerSecond.push_back(std::pow(rank, -1.2));
        sum += load.requestsPerSecond.back();
    }
    for (auto& rate : load.requestsPerSecond)
        rate *= 1.6 * 720 / sum;
    auto withShares = serve(load);
    load.usesShares = false;
    auto byArrival = serve(load);
    for (size_t i = 0; i < 24; ++i)
        BOOST_TEST_MESSAGE("account " << i << ": " << withShares.part(i) << ", by arrival " << byArrival.part(i));
    for (size_t i = 0; i < 24; ++i)
        BOOST_TEST(withShares.part(i) > withShares.partOfAll() / 4);
    for (size_t i = 0; i < 12; ++i)
        BOOST_TEST(withShares.part(i) > 0.85);
    BOOST_TEST(withShares.partOfAll() > 0.97 * byArrival.partOfAll());
}

// Load: as before; then twelve of the small accounts fall silent, and the large one takes what they leave.
BOOST_AUTO_TEST_CASE(anUnusedShareIsUsedAtOnce)
{
    Load load;
    load.requestsPerSecond = unevenAccounts(450);
    load.laterRequestsPerSecond = load.requestsPerSecond;
    std::fill_n(load.laterRequestsPerSecond.begin(), 12, 0.0);
    Fleet fleet(load);
    fleet.run();
    BOOST_TEST(fleet.usedPart(8000, 10'000) > 0.97);
    BOOST_TEST(fleet.usedPart(10'000, 11'000) > 0.97);
    BOOST_TEST(fleet.usedPart(11'000, 18'000) > 0.97);
    auto later = fleet.servedBetween(11'000, load.end);
    BOOST_TEST(later.served[23] > 0.4 * std::accumulate(later.served.begin(), later.served.end(), 0.0));
}

// Load: the large account's burst ends, and the others go on asking for more than there is room for.
BOOST_AUTO_TEST_CASE(anAccountIsWithinItsShareAgainAfterItsBurst)
{
    Load load;
    load.requestsPerSecond = unevenAccounts(300);
    load.laterRequestsPerSecond = std::vector<double>(23, 36.0);
    load.laterRequestsPerSecond.push_back(15);
    load.end = 30'000;
    Fleet fleet(load);
    fleet.run();
    BOOST_TEST(fleet.timeUntilWithinShare(0) > 5000);
    BOOST_TEST_MESSAGE("within its share after " << fleet.timeUntilWithinShare(load.changeAt) << " ms");
    BOOST_TEST(fleet.timeUntilWithinShare(load.changeAt) <= 2000);
    BOOST_TEST(fleet.servedBetween(12'000, load.end).part(23) > 0.9);
}

// Load: as before. The requests of an account beyond its share are served alike, whatever their size.
BOOST_AUTO_TEST_CASE(largeAndSmallRequestsOfAnAccountAreServedAlike)
{
    Load load;
    load.requestsPerSecond = unevenAccounts(300);
    load.end = 60'000;
    auto served = serve(load);
    double large = served.servedLarge / served.askedLarge;
    double others = served.servedOthers / served.askedOthers;
    BOOST_TEST_MESSAGE("large " << large << ", others " << others);
    BOOST_TEST(large > 0.8 * others);
    BOOST_TEST(large < 1.25 * others);
}

// Load: as before, through several entries, of which one is lost and one doesn't hear half of the others.
BOOST_AUTO_TEST_CASE(manyEntriesDivideAsOneDoes)
{
    struct Case {
        const char* name;
        std::vector<size_t> entries;
        double lossAt;
        bool isFirstEntryCut;
    };
    Load load;
    load.requestsPerSecond = unevenAccounts(300);
    load.end = 25'000;
    auto ofOne = serve(load);
    const std::vector<Case> cases {
        { "three entries", { 3 }, 1e9, false },
        { "three entries in as many data centres", { 1, 1, 1 }, 1e9, false },
        { "fifteen entries", { 5, 5, 5 }, 1e9, false },
        { "fifteen entries, one is lost", { 5, 5, 5 }, 8000, false },
        { "fifteen entries, one is cut off from half of the others", { 5, 5, 5 }, 1e9, true },
        { "three entries, one is lost and one cut off from half", { 3 }, 8000, true },
        { "fifteen entries, one is lost and one cut off from half", { 5, 5, 5 }, 8000, true },
    };
    for (const auto& row : cases) {
        BOOST_TEST_CONTEXT(row.name)
        {
            load.entriesByDataCentre = row.entries;
            load.lossAt = row.lossAt;
            load.isFirstEntryCut = row.isFirstEntryCut;
            load.usesShares = true;
            auto served = serve(load);
            load.usesShares = false;
            auto byArrival = serve(load);
            BOOST_TEST_MESSAGE(row.name << ": small " << served.partOfSmall() << " (least " << served.leastPartOfSmall() << "), large " << served.part(23) << ", all " << served.partOfAll() << "; by arrival: small " << byArrival.partOfSmall() << ", large " << byArrival.part(23));
            BOOST_TEST(std::abs(served.partOfSmall() - ofOne.partOfSmall()) < 0.05);
            BOOST_TEST(std::abs(served.part(23) - ofOne.part(23)) < 0.1);
            BOOST_TEST(served.part(23) > served.partOfAll() / 4);
            BOOST_TEST(served.partOfSmall() > byArrival.partOfSmall() + 0.1);
            BOOST_TEST(served.partOfAll() > 0.97 * byArrival.partOfAll());
        }
    }
}

// Load: two accounts of high priority and two of low priority ask for more than there is room for. Those of low priority share what the
// others leave.
BOOST_AUTO_TEST_CASE(accountsShareWithThoseOfTheirPriority)
{
    auto configuration = std::make_shared<EntryConfiguration>(*makeConfiguration(4));
    for (size_t i = 0; i < 4; ++i)
        configuration->accounts[i].priority = i % 2 == 0 ? 0 : 1;
    auto table = makeTable(configuration);
    const std::vector<double> used { 400, 60, 400, 140 };
    for (size_t i = 0; i < 4; ++i) {
        addToRate(rowOf(table, i).used, used[i], start);
        addToRate(rowOf(table, i).asked, i % 2 == 0 ? used[i] : 200, start);
    }
    table.services[0].isWaiting = true;
    updateShares(table, start);
    BOOST_TEST(!rowOf(table, 0).isBeyondShare);
    BOOST_TEST(!rowOf(table, 1).isBeyondShare);
    BOOST_TEST(!rowOf(table, 2).isBeyondShare);
    BOOST_TEST(rowOf(table, 3).isBeyondShare);
    BOOST_TEST(table.services[0].beyondCount == 1u);
    // Once nobody waits, nobody is beyond a share.
    table.services[0].isWaiting = false;
    updateShares(table, start + Milliseconds(20));
    BOOST_TEST(!rowOf(table, 3).isBeyondShare);
    BOOST_TEST(table.services[0].beyondCount == 0u);
}

// Load: as before, half of it urgent, for which there is room. An account beyond its share gives way to requests of its own rank only:
// its urgent ones are served before the small accounts' other ones, and no fewer urgent ones are served than in order of arrival.
BOOST_AUTO_TEST_CASE(urgentRequestsOfALargeAccountGoBeforeTheOthersOfAll)
{
    Load load;
    load.requestsPerSecond = unevenAccounts(300);
    load.urgentPart = 0.5;
    for (const auto& entries : { std::vector<size_t> { 1 }, std::vector<size_t> { 5, 5, 5 } }) {
        load.entriesByDataCentre = entries;
        load.usesShares = true;
        auto served = serve(load);
        load.usesShares = false;
        auto byArrival = serve(load);
        double urgentOfLarge = served.servedUrgent / served.askedUrgent;
        double urgentOfAll = served.servedUrgentOfAll / served.askedUrgentOfAll;
        double urgentByArrival = byArrival.servedUrgentOfAll / byArrival.askedUrgentOfAll;
        BOOST_TEST_MESSAGE("urgent of the large one " << urgentOfLarge << ", of all " << urgentOfAll << ", small " << served.partOfSmall() << "; by arrival: urgent of all " << urgentByArrival << ", small " << byArrival.partOfSmall());
        BOOST_TEST((entries.size() > 1 || urgentOfLarge > 0.95));
        BOOST_TEST(urgentOfLarge > served.partOfSmall());
        BOOST_TEST(urgentOfAll > 0.98 * urgentByArrival);
        BOOST_TEST(served.partOfSmall() > byArrival.partOfSmall() + 0.03);
    }
}

// An account beyond its share gives way at the ranks whose requests are refused, and below them.
BOOST_AUTO_TEST_CASE(anAccountGivesWayWhereRequestsAreRefused)
{
    auto table = makeTable(makeConfiguration(2));
    const auto& large = rowOf(table, 0);
    const auto& small = rowOf(table, 1);
    const RequestRank urgent { 1, 0 };
    const RequestRank usual { 1, 1 };
    const RequestRank batch { 1, 2 };
    addToRate(rowOf(table, 0).used, 90, start);
    noteAsked(table, rowOf(table, 0), { urgent, FractionalMilliseconds(100) }, start);
    noteAsked(table, rowOf(table, 0), { usual, FractionalMilliseconds(100) }, start);
    addToRate(rowOf(table, 1).used, 10, start);
    noteAsked(table, rowOf(table, 1), { usual, FractionalMilliseconds(60) }, start);
    noteRefused(table, large, { urgent, FractionalMilliseconds(4) }, start);
    noteRefused(table, small, { usual, FractionalMilliseconds(7) }, start);
    updateShares(table, start);
    BOOST_TEST(large.isBeyondShare);
    BOOST_TEST(!givesWay(table, large, urgent));
    BOOST_TEST(!givesWay(table, large, usual));
    noteRefused(table, small, { usual, FractionalMilliseconds(2) }, start);
    updateShares(table, start);
    BOOST_TEST(!givesWay(table, large, urgent));
    BOOST_TEST(givesWay(table, large, usual));
    BOOST_TEST(givesWay(table, large, batch));
    BOOST_TEST(!givesWay(table, small, usual));
    BOOST_TEST(!givesWay(table, small, batch));
}

BOOST_AUTO_TEST_CASE(onlyServicesWithRankedRoutesAreCounted)
{
    auto table = makeTable(makeConfiguration(3, false));
    BOOST_TEST(table.accounts.empty());
    BOOST_TEST(!findAccountDemand(table, hashOf(0)));
    updateShares(table, start);
    BOOST_TEST(isEmpty(makeDemandReport(table, PeerMessageScope::Near, start)));
    DemandReport report { "a", { { hashOf(0), 100, 200 } }, { { "b", Milliseconds(0), { { hashOf(0), 1, 1 } } } }, {} };
    applyDemandReport(table, "1", report, start);
    BOOST_TEST(table.peers.empty());
    BOOST_TEST(table.dataCentres.empty());
}

BOOST_AUTO_TEST_CASE(aNewConfigurationKeepsTheRatesOfAccountsThatRemain)
{
    auto table = makeTable(makeConfiguration(3));
    addToRate(rowOf(table, 1).used, 100, start);
    setConfiguration(table, makeConfiguration(2));
    BOOST_TEST(rateAt(rowOf(table, 1).used, start) > 0);
    BOOST_TEST(!findAccountDemand(table, hashOf(2)));
    setConfiguration(table, nullptr);
    BOOST_TEST(table.services.empty());
}

// Reports pass only while there isn't room for all, and no more often than each 100 ms within a data centre.
BOOST_AUTO_TEST_CASE(reportsPassWhileThereIsNoRoom)
{
    auto table = makeTable(makeConfiguration(2));
    addToRate(rowOf(table, 0).used, 1000, start);
    addToRate(rowOf(table, 0).asked, 1000, start);
    updateShares(table, start);
    BOOST_TEST(isEmpty(makeDemandReport(table, PeerMessageScope::Near, start)));
    BOOST_TEST(isEmpty(makeDemandReport(table, PeerMessageScope::Remote, start)));
    auto now = start + Milliseconds(200);
    table.services[0].refusedAt = now;
    updateShares(table, now);
    auto near = makeDemandReport(table, PeerMessageScope::Near, now);
    BOOST_REQUIRE(near.accounts.size() == 1u);
    BOOST_TEST(near.accounts[0].account == hashOf(0));
    BOOST_TEST(isEmpty(makeDemandReport(table, PeerMessageScope::Near, now + Milliseconds(99))));
    BOOST_TEST(!isEmpty(makeDemandReport(table, PeerMessageScope::Near, now + Milliseconds(100))));
    BOOST_TEST(makeDemandReport(table, PeerMessageScope::Remote, now).otherDataCentres.size() == 1u);
    BOOST_TEST(isEmpty(makeDemandReport(table, PeerMessageScope::Introduction, now)));
    now += Milliseconds(1000);
    updateShares(table, now);
    BOOST_TEST(isEmpty(makeDemandReport(table, PeerMessageScope::Near, now)));
}

// An entry that receives the sum of another data centre directly passes it on once; the newest one counts.
BOOST_AUTO_TEST_CASE(sumsOfOtherDataCentresArePassedOn)
{
    auto configuration = makeConfiguration(2);
    auto receiver = makeTable(configuration);
    DemandReport remote { "b", {}, { { "b", Milliseconds(0), { { hashOf(0), 300, 600 } } } }, {} };
    applyDemandReport(receiver, "9", remote, start);
    updateShares(receiver, start);
    auto near = makeDemandReport(receiver, PeerMessageScope::Near, start + Milliseconds(150));
    BOOST_REQUIRE(near.otherDataCentres.size() == 1u);
    BOOST_TEST(near.otherDataCentres[0].age.count() == 150);
    BOOST_TEST(makeDemandReport(receiver, PeerMessageScope::Near, start + Milliseconds(300)).otherDataCentres.empty());
    auto other = makeTable(configuration);
    applyDemandReport(other, "1", near, start + Milliseconds(150));
    updateShares(other, start + Milliseconds(150));
    BOOST_TEST(rowOf(other, 0).fleetUsed == 300.0);
    BOOST_TEST(rowOf(other, 0).fleetAsked == 600.0);
    // It isn't passed on again, and an older one changes nothing.
    BOOST_TEST(makeDemandReport(other, PeerMessageScope::Near, start + Milliseconds(300)).otherDataCentres.empty());
    remote.otherDataCentres[0] = { "b", Milliseconds(500), { { hashOf(0), 1, 1 } } };
    applyDemandReport(other, "1", remote, start + Milliseconds(300));
    updateShares(other, start + Milliseconds(300));
    BOOST_TEST(rowOf(other, 0).fleetUsed == 300.0);
    // The sum that goes to other data centres has this one's entries only.
    BOOST_REQUIRE(makeDemandReport(other, PeerMessageScope::Remote, start + Milliseconds(300)).otherDataCentres.empty());
}

// Failure: an entry or a data centre falls silent. It counts for 1.2 s and 2 s, and the shares go on without it.
BOOST_AUTO_TEST_CASE(silentEntriesAndDataCentresCeaseToCount)
{
    auto table = makeTable(makeConfiguration(2));
    applyDemandReport(table, "1", { "a", { { hashOf(0), 100, 150 } }, {}, {} }, start);
    applyDemandReport(table, "2", { "b", { { hashOf(0), 7, 7 } }, { { "b", Milliseconds(100), { { hashOf(0), 30, 30 } } }, { "a", Milliseconds(0), { { hashOf(0), 5, 5 } } } }, {} }, start);
    const std::vector<std::pair<int, double>> usedAt { { 0, 130 }, { 1199, 130 }, { 1200, 30 }, { 1899, 30 }, { 1900, 0 } };
    addToRate(rowOf(table, 1).asked, 1, start);
    for (const auto& [milliseconds, used] : usedAt) {
        auto now = start + Milliseconds(milliseconds);
        table.services[0].refusedAt = now;
        updateShares(table, now);
        BOOST_TEST(rowOf(table, 0).fleetUsed == used);
    }
    BOOST_TEST(table.peers.empty());
    BOOST_TEST(table.dataCentres.empty());
}

// Load: a few thousand accounts. A report stays small enough for one datagram and has those that ask for most.
BOOST_AUTO_TEST_CASE(aReportListsTheAccountsThatAskForMost)
{
    auto table = makeTable(makeConfiguration(3000));
    for (size_t i = 0; i < 3000; ++i) {
        addToRate(rowOf(table, i).asked, 1e6 + static_cast<double>(i), start);
        addToRate(rowOf(table, i).used, 1e6, start);
    }
    for (const char* dataCentre : { "b", "c", "d", "e" }) {
        DataCentreUse use { dataCentre, Milliseconds(0), {} };
        for (size_t i = 0; i < 3000; ++i)
            use.accounts.push_back({ hashOf(i), 1'000'000, 1'000'000 + static_cast<uint32_t>(i) });
        applyDemandReport(table, dataCentre, { dataCentre, {}, { use }, {} }, start);
    }
    table.services[0].isWaiting = true;
    updateShares(table, start);
    auto report = makeDemandReport(table, PeerMessageScope::Near, start);
    BOOST_TEST(encodeDemandReport(report).size() < maxPeerMessageBytes);
    BOOST_TEST(report.otherDataCentres.size() == 2u);
    auto isLargest = [&](const AccountUse& use) { return use.account == hashOf(2999); };
    BOOST_TEST(std::any_of(report.accounts.begin(), report.accounts.end(), isLargest));
    BOOST_TEST(makeDemandReport(table, PeerMessageScope::Near, start + Milliseconds(100)).otherDataCentres.size() == 2u);
}
