#define BOOST_TEST_MODULE FleetTable
#include "FleetTable.h"

#include "FleetDigest.h"
#include "Gossip.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bilberry;

static VmStatus makeStatus(const std::string& vm, uint64_t incarnation, uint64_t sequence)
{
    VmStatus status;
    status.vm = vm;
    status.incarnation = incarnation;
    status.sequence = sequence;
    return status;
}

RC_BOOST_PROP(rowsNeverGoBackWhileTheirProcessReports, (const std::vector<std::pair<uint8_t, uint8_t>>& reports))
{
    FleetTable table;
    auto now = Clock::now();
    std::pair<uint64_t, uint64_t> highest { 0, 0 };
    for (const auto& [incarnation, sequence] : reports) {
        now += Milliseconds(10);
        table.refresh("a", 0, now);
        table.merge(makeStatus("a", incarnation, sequence), Duration(0), now);
        highest = std::max(highest, { incarnation, sequence });
        auto held = table.find("a")->status;
        RC_ASSERT(std::make_pair(held.incarnation, held.sequence) == highest);
    }
}

BOOST_AUTO_TEST_CASE(reportsAreAcceptedAgainAfterAClockStepBack)
{
    FleetTable table;
    auto now = Clock::now();
    table.merge(makeStatus("a", 1000, 9), Duration(0), now);
    // Peers may still relay the old report, so the lower incarnation is rejected at first.
    BOOST_TEST((table.merge(makeStatus("a", 500, 1), Duration(0), now + Milliseconds(100)) == MergeResult::Older));
    auto later = now + incarnationReplacementDelay + Milliseconds(1);
    BOOST_TEST((table.merge(makeStatus("a", 500, 1), Duration(0), later) == MergeResult::Newer));
    // A report of the former process that peers relay later is older than the one held.
    BOOST_TEST((table.merge(makeStatus("a", 1000, 9), later - now, later) == MergeResult::Older));
}

BOOST_AUTO_TEST_CASE(reportTimesNeverGoBackAndSilentRowsExpire)
{
    FleetTable table;
    auto now = Clock::now();
    table.merge(makeStatus("a", 1, 1), Milliseconds(500), now);
    BOOST_TEST((table.merge(makeStatus("a", 1, 1), Milliseconds(900), now) == MergeResult::Same));
    BOOST_TEST((table.find("a")->reportedAt == now - Milliseconds(500)));
    table.refresh("a", 3, now - Milliseconds(100));
    BOOST_TEST((table.find("a")->reportedAt == now - Milliseconds(100)));
    table.expire(now + Seconds(59), Seconds(60));
    BOOST_TEST(table.size() == 1U);
    table.expire(now + Seconds(61), Seconds(60));
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(rowCountIsBoundedForWrongNames)
{
    FleetTable table;
    for (size_t i = 0; i < maxFleetRows + 10; ++i)
        table.merge(makeStatus("vm-" + std::to_string(i), 1, 1), Duration(0), Clock::now());
    BOOST_TEST(table.size() == maxFleetRows);
}

RC_BOOST_PROP(digestsRoundTripThroughPacking, (const std::vector<std::pair<uint64_t, uint64_t>>& numbers))
{
    std::vector<DigestEntry> entries;
    auto now = Clock::now();
    for (const auto& [incarnation, sequence] : numbers) {
        FleetRow row { makeStatus("a", incarnation, sequence), now - Milliseconds(sequence % 40'000), now };
        row.status.requestsInProgress = static_cast<uint32_t>(incarnation);
        entries.push_back(makeDigestEntry(row, now));
        RC_ASSERT(entries.back().version != 0);
        RC_ASSERT(digestVersion(makeStatus("a", incarnation, sequence + 1)) != entries.back().version || sequence == UINT64_MAX);
    }
    auto read = unpackDigest(packDigest(entries), entries.size());
    RC_ASSERT(read.has_value());
    for (size_t i = 0; i < entries.size(); ++i) {
        RC_ASSERT((*read)[i].version == entries[i].version);
        RC_ASSERT((*read)[i].ageUnits == entries[i].ageUnits);
        RC_ASSERT((*read)[i].inProgress == entries[i].inProgress);
    }
    RC_ASSERT(!unpackDigest(packDigest(entries), entries.size() + 1));
}

BOOST_AUTO_TEST_CASE(onlyMajorChangesArePublishedAtOnce)
{
    VmStatus held = makeStatus("a", 1, 1);
    auto isPublished = [&](Duration sinceLast, auto change) {
        VmStatus offered = held;
        change(offered);
        return shouldPublishStatus(held, offered, sinceLast, Seconds(1));
    };
    BOOST_TEST(!isPublished(Seconds(9), [](VmStatus& status) { status.requestsInProgress = 7; }));
    BOOST_TEST(!isPublished(Seconds(0), [](VmStatus& status) { status.admissionLimit = 7; }));
    BOOST_TEST(isPublished(Seconds(1), [](VmStatus& status) { status.admissionLimit = 7; }));
    BOOST_TEST(!isPublished(Seconds(0), [](VmStatus& status) { status.holdings.push_back({}); }));
    BOOST_TEST(isPublished(Seconds(0), [](VmStatus& status) { status.isLeaving = true; }));
    BOOST_TEST(isPublished(Seconds(0), [](VmStatus& status) { status.isCold = true; }));
    BOOST_TEST(isPublished(Seconds(0), [](VmStatus& status) { status.servedModels.push_back({ "m", "d" }); }));
    BOOST_TEST(isPublished(Seconds(0), [](VmStatus& status) { status.incarnation = 2; }));
}
