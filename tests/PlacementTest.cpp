/// Tests the placement of models, and the calendar days that burst rules name.
#define BOOST_TEST_MODULE Placement
#include "Calendar.h"
#include "PlacementCache.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace bilberry;

namespace {

constexpr uint64_t gigabyte = 1'000'000'000;

WallTime gregorianDay(int year, int month, int day)
{
    return *findCalendarDay("gregorian", month, day, year, WallTime(std::chrono::hours(24) * 365 * (year - 1970)));
}

/// Makes one data centre for each element of `sizes` with that many VMs, and one model of 1 GB for each element of `replicas`.
/// VM i of a data centre has memory for 1 + i % 3 models.
Configuration makeConfiguration(const std::vector<int>& sizes, const std::vector<uint32_t>& replicas)
{
    Configuration configuration;
    Inventory& inventory = configuration.inventory;
    inventory.services.push_back({ "drafting", ServiceKind::Model, {} });
    for (RowIndex dataCentre = 0; dataCentre < sizes.size(); ++dataCentre) {
        inventory.dataCentres.push_back({ "dc-" + std::to_string(dataCentre), "region-" + std::to_string(dataCentre) });
        for (int i = 0; i < sizes[dataCentre]; ++i) {
            Vm vm;
            vm.name = "vm-" + std::to_string(dataCentre) + "-" + std::to_string(i);
            vm.dataCentre = dataCentre;
            vm.service = 0;
            vm.weightMemoryBytes = gigabyte * static_cast<uint64_t>(1 + i % 3);
            inventory.vms.push_back(vm);
        }
    }
    for (RowIndex model = 0; model < replicas.size(); ++model) {
        inventory.models.push_back({ "model-" + std::to_string(model), "stable", 0, gigabyte });
        configuration.rules.placements.push_back({ model, replicas[model], true });
    }
    return configuration;
}

rc::Gen<Configuration> genConfiguration()
{
    return rc::gen::map(rc::gen::pair(rc::gen::container<std::vector<int>>(3, rc::gen::inRange(0, 8)), rc::gen::container<std::vector<uint32_t>>(2, rc::gen::inRange<uint32_t>(0, 9))),
        [](const auto& pair) { return makeConfiguration(pair.first, pair.second); });
}

std::set<std::pair<RowIndex, std::string>> modelVmPairs(const Configuration& configuration, const Placement& placement)
{
    std::set<std::pair<RowIndex, std::string>> rows;
    for (const auto& row : placement.rows)
        rows.emplace(row.model, configuration.inventory.vms[row.vm].name);
    return rows;
}

uint32_t replicasWithoutDataCentre(const Configuration& configuration, const Placement& placement, RowIndex model, RowIndex lost)
{
    uint32_t count = 0;
    for (const auto& row : placement.rows)
        count += row.model == model && configuration.inventory.vms[row.vm].dataCentre != lost ? 1 : 0;
    return count;
}

} // namespace

RC_BOOST_PROP(memoryIsRespectedAndAnyDataCentreMayBeLostOrAShortfallIsReported, ())
{
    auto configuration = *genConfiguration();
    auto placement = placeModels(configuration, nullptr, WallTime {});
    std::map<RowIndex, uint64_t> used;
    for (const auto& row : placement.rows) {
        used[row.vm] += configuration.inventory.models[row.model].sizeBytes;
        RC_ASSERT(!row.reason.empty());
    }
    for (const auto& [vm, bytes] : used)
        RC_ASSERT(bytes <= configuration.inventory.vms[vm].weightMemoryBytes);
    RC_ASSERT(modelVmPairs(configuration, placement).size() == placement.rows.size());
    for (RowIndex model = 0; model < configuration.inventory.models.size(); ++model) {
        bool isShort = std::any_of(placement.shortfalls.begin(), placement.shortfalls.end(), [&](const PlacementShortfall& shortfall) { return shortfall.model == model; });
        for (RowIndex lost = 0; lost < configuration.inventory.dataCentres.size(); ++lost)
            RC_ASSERT(isShort || replicasWithoutDataCentre(configuration, placement, model, lost) >= configuration.rules.placements[model].replicas);
    }
}

RC_BOOST_PROP(aVmThatLeavesMovesFewReplicas, ())
{
    // There is one model only, so that memory which another model frees does not affect the bound.
    auto configuration = makeConfiguration(*rc::gen::container<std::vector<int>>(3, rc::gen::inRange(2, 8)), { *rc::gen::inRange<uint32_t>(1, 5) });
    auto before = placeModels(configuration, nullptr, WallTime {});
    LiveList live;
    for (const auto& vm : configuration.inventory.vms)
        live.vms[vm.name] = LiveState::Live;
    auto leavingVm = configuration.inventory.vms[*rc::gen::inRange<size_t>(0, configuration.inventory.vms.size())].name;
    live.vms[leavingVm] = LiveState::Leaving;
    auto after = placeModels(configuration, &live, WallTime {});
    auto rowsBefore = modelVmPairs(configuration, before);
    size_t added = 0;
    for (const auto& row : modelVmPairs(configuration, after)) {
        RC_ASSERT(row.second != leavingVm);
        added += rowsBefore.count(row) == 0 ? 1 : 0;
    }
    // When a data centre loses a VM, one replica may move to each of the other two data centres.
    RC_ASSERT(added <= (rowsBefore.count({ 0, leavingVm }) ? 2U : 0U));
}

BOOST_AUTO_TEST_CASE(calendarDaysAreWithinTheToleranceOfThePublishedDates)
{
    struct Case {
        const char* calendar;
        int month;
        int day;
        WallTime from;
        WallTime expected;
    };
    // These are the published dates of Ramadan 1447 and Shawwal 1447 (Umm al-Qura), Chinese New Year 2026 and 2027, and Rosh
    // Hashanah 5787.
    const std::vector<Case> cases {
        { "islamic-umalqura", 9, 1, gregorianDay(2026, 1, 1), gregorianDay(2026, 2, 18) },
        { "islamic-umalqura", 10, 1, gregorianDay(2026, 1, 1), gregorianDay(2026, 3, 20) },
        { "chinese", 1, 1, gregorianDay(2026, 1, 1), gregorianDay(2026, 2, 17) },
        { "chinese", 1, 1, gregorianDay(2026, 2, 18), gregorianDay(2027, 2, 6) },
        { "hebrew", 1, 1, gregorianDay(2026, 1, 1), gregorianDay(2026, 9, 12) },
        { "gregorian", 12, 24, gregorianDay(2026, 12, 24), gregorianDay(2026, 12, 24) },
    };
    for (const auto& row : cases) {
        auto found = findCalendarDay(row.calendar, row.month, row.day, std::nullopt, row.from);
        BOOST_REQUIRE(found);
        BOOST_TEST((std::chrono::abs(*found - row.expected) <= calendarTolerance(row.calendar)), row.calendar << " " << row.month << "/" << row.day);
    }
}

BOOST_AUTO_TEST_CASE(aBurstCountsFromItsLeadTimeUntilItsEnd)
{
    auto configuration = makeConfiguration({ 5, 5, 5 }, { 2 });
    configuration.rules.bursts.push_back({ "ramadan", 0, "islamic-umalqura", 9, 1, std::nullopt, 30, 2, 6 });
    auto first = gregorianDay(2026, 2, 18);
    auto day = std::chrono::hours(24);
    auto second = std::chrono::seconds(1);
    BOOST_TEST(wantedReplicas(configuration, 0, first - day * 2 - second) == 2U);
    BOOST_TEST(wantedReplicas(configuration, 0, first - day * 2) == 6U);
    BOOST_TEST(wantedReplicas(configuration, 0, first + day * 30 - second) == 6U);
    BOOST_TEST(wantedReplicas(configuration, 0, first + day * 30) == 2U);
    BOOST_TEST(findReplicaTarget(configuration, 0, first).reason == "burst ramadan");
}

// In 2027 and 2030 a new moon falls within minutes of midnight, so the calendar library's day differs by one from the published
// day.
BOOST_AUTO_TEST_CASE(aBurstCoversThePublishedDayAndItsLeadTimeWhereTheLibraryIsADayOff)
{
    auto configuration = makeConfiguration({ 5, 5, 5 }, { 2 });
    configuration.rules.bursts.push_back({ "new-year", 0, "chinese", 1, 1, std::nullopt, 1, 1, 6 });
    auto day = std::chrono::hours(24);
    for (auto published : { gregorianDay(2026, 2, 17), gregorianDay(2027, 2, 6), gregorianDay(2028, 1, 26), gregorianDay(2029, 2, 13), gregorianDay(2030, 2, 3) }) {
        BOOST_TEST(wantedReplicas(configuration, 0, published - day) == 6U);
        BOOST_TEST(wantedReplicas(configuration, 0, published + day - std::chrono::seconds(1)) == 6U);
        BOOST_TEST(wantedReplicas(configuration, 0, published + day * 40) == 2U);
    }
}

BOOST_AUTO_TEST_CASE(thePlacementIsKeptUntilConfigurationLiveListOrDayChange)
{
    auto configuration = std::make_shared<const Configuration>(makeConfiguration({ 2, 2, 2 }, { 2 }));
    auto live = std::make_shared<const LiveList>();
    PlacementCache cache;
    auto noon = gregorianDay(2026, 5, 5) + std::chrono::hours(12);
    auto first = cache.get(configuration, nullptr, noon);
    BOOST_TEST(cache.get(configuration, nullptr, noon + std::chrono::hours(1)) == first);
    BOOST_TEST(cache.get(configuration, nullptr, noon + std::chrono::hours(13)) != first);
    BOOST_TEST(cache.get(configuration, live, noon)->rows.empty());
}
