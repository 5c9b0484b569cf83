#define BOOST_TEST_MODULE PeerSchedule
#include <boost/test/unit_test.hpp>

#include "PeerReports.h"
#include "PeerSchedule.h"

#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <numeric>
#include <random>
#include <set>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };
constexpr Milliseconds tickInterval { 20 };

/// An entry of the model: its table of peers and schedule, and its own requests by engine.
struct ModelEntry {
    PeerTable table;
    PeerSchedule schedule;
    PeerReports reports;
    std::map<uint32_t, uint32_t> loads;
    std::set<std::string> noticed; ///< Addresses of engines of which a notice has arrived.
    uint64_t sequence = 0;
    uint64_t sentBytes = 0;
    bool hasChanged = false;
    bool isAlive = true;
};

/// A fleet of entries that exchange messages over a network that delays all of them and loses some. In each data centre there
/// are twice as many engines as entries. Requests arrive at random and stay at an engine for about a second.
struct FleetModel {
    struct Datagram {
        TimePoint at {};
        size_t to = 0;
        std::string from;
        PeerMessage message;
    };
    struct Completion {
        TimePoint at {};
        size_t entry = 0;
        uint32_t engine = 0;
    };

    FleetModel(size_t dataCentres, size_t entriesPerDataCentre)
        : dataCentres(dataCentres)
        , entriesPerDataCentre(entriesPerDataCentre)
        , entries(dataCentres * entriesPerDataCentre)
    {
        for (size_t i = 0; i < this->entries.size(); ++i) {
            auto& entry = this->entries[i];
            entry.table.ownIp = ipOf(i);
            entry.table.ownDataCentre = this->dataCentreOf(i);
            entry.schedule.startedAt = start;
            // The first entries of three data centres are the seeds.
            for (size_t seed = 0; seed < std::min<size_t>(3, dataCentres); ++seed) {
                entry.schedule.seeds.push_back(ipOf(seed * entriesPerDataCentre));
                entry.table.add(ipOf(seed * entriesPerDataCentre));
            }
        }
    }

    static std::string ipOf(size_t entry) { return fmt::format("10.0.{}.{}", entry / 200, entry % 200); }
    std::string dataCentreOf(size_t entry) const { return fmt::format("dc-{}", entry / this->entriesPerDataCentre); }

    void send(size_t from, PeerMessage message, const std::string& ip)
    {
        auto& sender = this->entries[from];
        message.incarnation = 1;
        message.dataCentre = sender.table.ownDataCentre;
        sender.sentBytes += encodePeerMessage(message).size();
        for (size_t to = 0; to < this->entries.size(); ++to) {
            bool isLost = this->random() % 100 == 0;
            if (ipOf(to) == ip && this->entries[to].isAlive && !isLost)
                this->datagrams.push_back({ this->now + Milliseconds(5), to, sender.table.ownIp, message });
        }
    }

    PeerMessage compose(ModelEntry& entry, PeerMessageScope scope)
    {
        PeerMessage message;
        message.sequence = ++entry.sequence;
        for (const auto& [engine, inFlight] : entry.loads) {
            if (inFlight > 0)
                message.loads.push_back({ engine, inFlight });
        }
        entry.reports.fillMessage(message, scope);
        addPeerState(message, scope, entry.schedule, entry.table, this->now);
        return message;
    }

    void sendDue(size_t index)
    {
        auto& entry = this->entries[index];
        entry.reports.removeExpired(this->now);
        entry.table.removeSilentPeers(entry.schedule.seeds, this->now);
        auto sends = dueSends(entry.schedule, entry.table, entry.hasChanged, this->now);
        for (auto scope : { PeerMessageScope::Near, PeerMessageScope::Remote, PeerMessageScope::Introduction }) {
            size_t count = static_cast<size_t>(std::count_if(sends.begin(), sends.end(), [&](const PeerSend& due) { return due.scope == scope; }));
            if (count == 0)
                continue;
            auto message = this->compose(entry, scope);
            for (const auto& due : sends) {
                if (due.scope == scope)
                    this->send(index, message, due.ip);
            }
            if (scope == PeerMessageScope::Near) {
                entry.hasChanged = false;
                auto withoutDigests = message;
                withoutDigests.layout = PeerMessageLayout::WithoutDigests;
                limitRate(entry.schedule, encodePeerMessage(withoutDigests).size() * count, this->now);
            }
        }
    }

    void deliver()
    {
        while (!this->datagrams.empty() && this->datagrams.front().at <= this->now) {
            auto datagram = std::move(this->datagrams.front());
            this->datagrams.pop_front();
            auto& entry = this->entries[datagram.to];
            if (!entry.isAlive || !entry.table.applyMessage(datagram.from, datagram.message, this->now))
                continue;
            bool isNear = datagram.message.dataCentre == entry.table.ownDataCentre;
            for (const auto& notice : datagram.message.notices) {
                entry.reports.addNotice(notice, isNear ? ReportSource::SameDataCentre : ReportSource::OtherDataCentre, this->now);
                entry.noticed.insert(notice.address);
            }
            if (!datagram.message.wantsPeers)
                continue;
            auto reply = this->compose(entry, PeerMessageScope::Introduction);
            reply.wantsPeers = false;
            reply.peers = peersForNewEntry(entry.table, datagram.message.dataCentre, this->now);
            this->send(datagram.to, reply, datagram.from);
        }
    }

    uint32_t requestsAt(uint32_t engine) const
    {
        uint32_t total = 0;
        for (const auto& entry : this->entries) {
            auto found = entry.loads.find(engine);
            total += found == entry.loads.end() ? 0 : found->second;
        }
        return total;
    }

    // Sends one request from a random entry to one of two random engines, mostly of its own data centre, that it knows as the
    // less loaded one. Notes by how much it was wrong about that engine.
    void arrive()
    {
        size_t index = this->random() % this->entries.size();
        auto& entry = this->entries[index];
        if (!entry.isAlive)
            return;
        size_t dataCentre = this->random() % 10 == 0 ? this->random() % this->dataCentres : index / this->entriesPerDataCentre;
        auto known = peersInFlight(entry.table, this->now);
        auto knownAt = [&](uint32_t engine) { return known[engine] + entry.loads[engine]; };
        auto draw = [&] { return static_cast<uint32_t>(dataCentre * 1000 + this->random() % (2 * this->entriesPerDataCentre)); };
        uint32_t engine = draw();
        uint32_t other = draw();
        if (knownAt(other) < knownAt(engine))
            engine = other;
        this->errors.push_back(std::abs(static_cast<double>(knownAt(engine)) - this->requestsAt(engine)));
        ++entry.loads[engine];
        entry.hasChanged = true;
        this->completions.push_back({ this->now + Milliseconds(700 + this->random() % 600), index, engine });
    }

    // Runs for a span; in each second `perEntry` requests arrive for each entry.
    void run(Milliseconds span, double perEntry = 0)
    {
        auto end = this->now + span;
        for (; this->now < end; this->now += Milliseconds(1)) {
            this->deliver();
            std::bernoulli_distribution hasArrival(std::min(1.0, perEntry * static_cast<double>(this->entries.size()) / 1000));
            if (hasArrival(this->random))
                this->arrive();
            for (auto& completion : this->completions) {
                if (completion.at != this->now)
                    continue;
                --this->entries[completion.entry].loads[completion.engine];
                this->entries[completion.entry].hasChanged = true;
            }
            auto isOver = [&](const Completion& completion) { return completion.at <= this->now; };
            this->completions.erase(std::remove_if(this->completions.begin(), this->completions.end(), isOver), this->completions.end());
            for (size_t i = 0; i < this->entries.size(); ++i) {
                // Entries tick at different times.
                bool isTick = ((this->now - start) / Milliseconds(1) + static_cast<long>(i)) % tickInterval.count() == 0;
                if (isTick && this->entries[i].isAlive)
                    this->sendDue(i);
            }
        }
    }

    double meanError() const { return std::accumulate(this->errors.begin(), this->errors.end(), 0.0) / static_cast<double>(this->errors.size()); }

    size_t dataCentres;
    size_t entriesPerDataCentre;
    std::vector<ModelEntry> entries;
    std::deque<Datagram> datagrams; ///< Oldest first; all take the same time.
    std::vector<Completion> completions;
    std::vector<double> errors;
    TimePoint now = start;
    std::mt19937 random { 11 };
};

} // namespace

// Entries that know only the seeds know the whole fleet's size within three seconds, at any size.
BOOST_AUTO_TEST_CASE(entriesFindEachOther)
{
    for (size_t perDataCentre : { 4, 11, 22 }) {
        FleetModel model(5, perDataCentre);
        model.run(Seconds(3));
        for (const auto& entry : model.entries) {
            BOOST_TEST(countEntries(entry.table, model.now) == model.entries.size());
            BOOST_TEST(peersInDataCentre(entry.table, entry.table.ownDataCentre, 100, model.now).size() == perDataCentre - 1);
        }
    }
}

// When a request is sent, the number of requests at the engine as the entry knows it differs by less than 1.5 on average from
// the true one, and an entry sends less than 20 KB/s on average, with a few entries and with more than a hundred.
BOOST_AUTO_TEST_CASE(loadsAreKnownAtAnySize)
{
    for (size_t perDataCentre : { 2, 11, 22 }) {
        FleetModel model(5, perDataCentre);
        model.run(Seconds(3));
        for (auto& entry : model.entries)
            entry.sentBytes = 0;
        model.run(Seconds(2), 15);
        model.errors.clear();
        model.run(Seconds(4), 15);
        uint64_t bytes = 0;
        for (const auto& entry : model.entries)
            bytes += entry.sentBytes;
        double bytesPerSecond = static_cast<double>(bytes) / 6 / static_cast<double>(model.entries.size());
        BOOST_TEST_MESSAGE(fmt::format("{} entries: mean error {:.2f}, {:.1f} KB/s an entry", model.entries.size(), model.meanError(), bytesPerSecond / 1000));
        BOOST_TEST(model.meanError() < 1.5);
        BOOST_TEST(bytesPerSecond < 20'000);
    }
}

// While all engines of a fleet switch to a new version within seconds and their agents notify entries of each step, the known
// loads differ by less than 3 on average from the true ones.
BOOST_AUTO_TEST_CASE(loadsAreKnownWhileEnginesSwitch)
{
    FleetModel model(5, 11);
    model.run(Seconds(3));
    model.run(Seconds(2), 15);
    model.errors.clear();
    for (uint64_t step = 0; step < 300; ++step) {
        // Two notices of the engines of each data centre every 30 ms, each sent to most of its entries.
        for (size_t i = 0; i < model.entries.size(); ++i) {
            auto& entry = model.entries[i];
            if (i % 11 >= 9)
                continue;
            entry.reports.addNotice({ fmt::format("10.9.{}.{}:8082", i / 11, step % 22), static_cast<uint32_t>(step / 22 % 2), step + 1 }, ReportSource::Own, model.now);
            entry.hasChanged = true;
        }
        model.run(Milliseconds(10), 15);
    }
    BOOST_TEST_MESSAGE(fmt::format("mean error while engines switch {:.2f}", model.meanError()));
    BOOST_TEST(model.meanError() < 3);
}

// When the entries die that send the digests of two data centres, others take over, and the fleet goes on knowing its loads.
BOOST_AUTO_TEST_CASE(digestsGoOnWhenTheirSenderDies)
{
    FleetModel model(5, 6);
    model.run(Seconds(3));
    for (auto& entry : model.entries) {
        bool isChosen = sendsDigests(entry.table, model.now) && (entry.table.ownDataCentre == "dc-0" || entry.table.ownDataCentre == "dc-3");
        entry.isAlive = !isChosen;
    }
    model.run(Seconds(4));
    for (const auto& entry : model.entries) {
        if (!entry.isAlive)
            continue;
        BOOST_TEST(entry.table.digests.size() == 4u);
        for (const auto& [dataCentre, digest] : entry.table.digests)
            BOOST_TEST((model.now - digest.madeAt < Milliseconds(1500)));
    }
}

// An engine's notice, which its agent sends to one entry, reaches all entries within a second, and its passing on ends.
BOOST_AUTO_TEST_CASE(noticesReachAllEntriesAndEnd)
{
    FleetModel model(5, 11);
    model.run(Seconds(3));
    model.entries[17].reports.addNotice({ "10.9.0.1:80", 0, 5 }, ReportSource::Own, model.now);
    model.entries[17].hasChanged = true;
    model.run(Seconds(1));
    auto missing = std::count_if(model.entries.begin(), model.entries.end(), [](const ModelEntry& entry) { return entry.noticed.empty(); });
    // One message in a hundred is lost; the model's entry itself isn't told.
    BOOST_TEST(missing <= 1);
    model.run(Seconds(6));
    for (auto& entry : model.entries) {
        PeerMessage message;
        entry.reports.fillMessage(message, PeerMessageScope::Near);
        entry.reports.fillMessage(message, PeerMessageScope::Remote);
        BOOST_TEST(message.notices.empty());
    }
}

// An entry of the previous release gets messages in the layout that it understands, and is heard.
BOOST_AUTO_TEST_CASE(previousReleaseIsHeard)
{
    PeerTable table;
    table.ownIp = "10.0.0.1";
    table.ownDataCentre = "dc-a";
    PeerMessage message;
    message.layout = PeerMessageLayout::WithoutDigests;
    message.incarnation = 1;
    message.sequence = 1;
    message.dataCentre = "dc-b";
    message.loads = { { 3, 4 } };
    table.applyMessage("10.0.0.2", *decodePeerMessage(encodePeerMessage(message)), start);
    BOOST_TEST(peersInFlight(table, start)[3] == 4u);
    PeerSchedule schedule;
    schedule.startedAt = start;
    auto sends = dueSends(schedule, table, true, start);
    BOOST_TEST(std::any_of(sends.begin(), sends.end(), [](const PeerSend& due) { return due.ip == "10.0.0.2" && due.scope == PeerMessageScope::Near; }));
}
