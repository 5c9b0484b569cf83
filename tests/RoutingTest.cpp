#define BOOST_TEST_MODULE Routing
#include "Routing.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <set>

using namespace bilberry;

static const TimePoint now = TimePoint() + std::chrono::hours(1);

// Makes three data centres in two regions, with the entry in the first one, and one model service and one plain service.
static std::shared_ptr<Configuration> makeConfiguration(uint32_t vms)
{
    auto configuration = std::make_shared<Configuration>();
    auto& inventory = configuration->inventory;
    inventory.dataCentres = { { "a", "north" }, { "b", "north" }, { "c", "south" } };
    inventory.services = { { "drafting", ServiceKind::Model, {} }, { "register", ServiceKind::Plain, "/register" } };
    inventory.models = { { "drafter", "stable", 0, 1 } };
    for (uint32_t i = 0; i < vms; ++i) {
        Vm vm;
        vm.name = "vm-" + std::to_string(i);
        vm.dataCentre = i % 3;
        vm.service = i % 4 == 3 ? 1 : 0;
        inventory.vms.push_back(vm);
    }
    return configuration;
}

static FleetRow makeReport(const std::string& vm, uint32_t inProgress, bool servesModel)
{
    FleetRow row;
    row.status.vm = vm;
    row.status.requestsInProgress = inProgress;
    row.status.admissionLimit = 8;
    row.reportedAt = now;
    if (servesModel)
        row.status.servedModels.push_back({ "drafter", "sha256:1" });
    return row;
}

struct RoutingScenario {
    std::shared_ptr<Configuration> configuration;
    RoutingTable table;
    std::vector<EndpointObservation> observations;
    std::vector<RowIndex> excluded;
    std::set<RowIndex> leavingVms;
};

// Makes a fleet with random loads, missing reports, and endpoints that are out of service, leaving, avoided or tried.
static RoutingScenario makeRandomScenario()
{
    RoutingScenario scenario;
    auto count = *rc::gen::inRange<uint32_t>(1, 30);
    scenario.configuration = makeConfiguration(count);
    if (*rc::gen::arbitrary<bool>())
        scenario.configuration->rules.outOfServiceDataCentres.push_back(*rc::gen::inRange<RowIndex>(0, 3));
    std::vector<FleetRow> reports;
    LiveList live;
    scenario.observations.resize(count);
    for (RowIndex vm = 0; vm < count; ++vm) {
        const auto& name = scenario.configuration->inventory.vms[vm].name;
        auto kind = *rc::gen::inRange(0, 10);
        if (kind == 0)
            continue;
        reports.push_back(makeReport(name, *rc::gen::inRange<uint32_t>(0, 12), kind != 1));
        if (kind == 2 || kind == 3)
            scenario.leavingVms.insert(vm);
        reports.back().status.isLeaving = kind == 2;
        if (kind == 3)
            live.vms[name] = LiveState::Leaving;
        auto& observation = scenario.observations[vm];
        observation.inProgress = *rc::gen::inRange<uint32_t>(0, 10);
        observation.eligibleSince = now - Milliseconds(*rc::gen::inRange(0, 20'000));
        if (kind == 4)
            observation.avoidUntil = now + Milliseconds(500);
        if (kind == 5)
            scenario.excluded.push_back(vm);
    }
    scenario.table = makeRoutingTable(scenario.configuration, &live, reports, 0, now);
    return scenario;
}

static bool containsRow(const std::vector<RowIndex>& rows, RowIndex row)
{
    return std::find(rows.begin(), rows.end(), row) != rows.end();
}

RC_BOOST_PROP(choiceCanServeAndIsInService, ())
{
    auto scenario = makeRandomScenario();
    RoutingTarget target { *rc::gen::inRange<RowIndex>(0, 2), noRow, *rc::gen::arbitrary<uint64_t>() };
    target.model = target.service == 0 ? 0 : noRow;
    auto choice = chooseEndpoint(scenario.table, target, scenario.observations, scenario.excluded, *rc::gen::arbitrary<uint64_t>(), now);
    RowIndex vm = choice.vm;
    std::vector<const RoutingRow*> usable;
    for (const auto& row : scenario.table.rows) {
        bool serves = row.service == target.service && (target.model == noRow || containsRow(row.models, 0));
        if (serves && !containsRow(scenario.excluded, row.vm))
            usable.push_back(&row);
    }
    bool isRetry = !scenario.excluded.empty();
    auto isPreferable = [&](const RoutingRow* row) { return row->hasFreshReport && scenario.observations[row->vm].avoidUntil <= now; };
    bool hasPreferable = std::any_of(usable.begin(), usable.end(), isPreferable);
    RC_ASSERT((vm == noRow) == (isRetry ? !hasPreferable : usable.empty()));
    if (vm == noRow)
        return;
    auto chosen = std::find_if(usable.begin(), usable.end(), [&](const RoutingRow* row) { return row->vm == vm; });
    RC_ASSERT(chosen != usable.end());
    RC_ASSERT(!isDataCentreOutOfService(*scenario.configuration, scenario.configuration->inventory.vms[vm].dataCentre));
    RC_ASSERT(scenario.leavingVms.count(vm) == 0U);
    RC_ASSERT(!hasPreferable || isPreferable(*chosen));
    // Groups of this size are examined completely, so the nearest endpoint with free capacity is always found.
    for (const auto* row : usable) {
        bool hasCapacity = isPreferable(row) && computeLoad(*row, scenario.observations[row->observationIndex], now) < 1;
        RC_ASSERT(!hasCapacity || (*chosen)->locality <= row->locality);
        RC_ASSERT(!hasCapacity || choice.hasCapacity);
    }
}

// Silence is judged against the typical age of reports, since an entry that was paused itself, or that has a large fleet,
// receives all reports late.
BOOST_AUTO_TEST_CASE(endpointIsSilentOnlyIfMuchOlderThanTypicalReports)
{
    struct {
        const char* name;
        Milliseconds age;
        Milliseconds typicalAge;
        bool isSilent;
    } const cases[] = {
        { "heard as usual", Milliseconds(500), Milliseconds(300), false },
        { "frozen while others are heard", Milliseconds(4500), Milliseconds(300), true },
        { "the entry itself was paused", Milliseconds(4000), Milliseconds(3600), false },
        { "oldest report of a large fleet", Milliseconds(7900), Milliseconds(2000), false },
        { "frozen in a large fleet", Milliseconds(12000), Milliseconds(2000), true },
    };
    for (const auto& row : cases)
        BOOST_TEST(isSilent(now - row.age, now - row.typicalAge, now) == row.isSilent, row.name);
}

BOOST_AUTO_TEST_CASE(typicalReportIsOlderThanTheNewestQuarter)
{
    auto configuration = makeConfiguration(8);
    std::vector<FleetRow> reports;
    for (int i = 0; i < 8; ++i) {
        reports.push_back(makeReport("vm-" + std::to_string(i), 0, true));
        reports.back().reportedAt = now - Seconds(i);
    }
    auto table = makeRoutingTable(configuration, nullptr, reports, 0, now);
    BOOST_TEST((table.typicalReportAt == now - Seconds(2)));
}

RC_BOOST_PROP(loadHintLosesWeightWithAgeAndRampUpBoundsCapacity, ())
{
    RoutingRow row;
    row.reportedLoad = { *rc::gen::inRange<uint32_t>(0, 20), *rc::gen::inRange<uint32_t>(1, 20), now };
    EndpointObservation observation;
    observation.inProgress = *rc::gen::inRange<uint32_t>(0, 20);
    observation.eligibleSince = now - std::chrono::minutes(1);
    double previous = computeLoad(row, observation, now);
    for (auto age = Milliseconds(0); age <= 2 * loadHintLifetime; age += Milliseconds(100)) {
        double load = computeLoad(row, observation, now + age);
        RC_ASSERT(load <= previous);
        RC_ASSERT(load * row.reportedLoad.limit >= observation.inProgress - 1e-9);
        previous = load;
    }
    RC_ASSERT(std::abs(previous * row.reportedLoad.limit - observation.inProgress) < 1e-9);
    double share = 0;
    for (auto since = Milliseconds(0); since <= 2 * rampUpDuration; since += Milliseconds(500)) {
        RC_ASSERT(rampUpShare(now, now + since) >= share);
        share = rampUpShare(now, now + since);
    }
    RC_ASSERT(share == 1.0);
    RC_ASSERT(rampUpShare(now, now) <= 0.1);
}

BOOST_AUTO_TEST_CASE(prefixStaysOnItsEndpointUntilThatIsLoaded)
{
    auto configuration = makeConfiguration(9);
    std::vector<FleetRow> reports;
    for (const auto& vm : configuration->inventory.vms)
        reports.push_back(makeReport(vm.name, 0, true));
    auto table = makeRoutingTable(configuration, nullptr, reports, 0, now);
    std::vector<EndpointObservation> observations(9);
    RoutingTarget target { 0, 0, 12345 };
    auto choose = [&](uint64_t random) { return chooseEndpoint(table, target, observations, {}, random * 0x9e3779b97f4a7c15, now).vm; };
    RowIndex preferred = choose(1);
    for (uint64_t random = 2; random < 50; ++random)
        BOOST_TEST(choose(random) == preferred);
    observations[preferred].inProgress = 5;
    std::set<RowIndex> chosen;
    for (uint64_t random = 2; random < 50; ++random)
        chosen.insert(choose(random));
    BOOST_TEST(chosen.size() > 1U);
}

// The first endpoints that accept work after a pause of all processes must not get all requests that came meanwhile.
BOOST_AUTO_TEST_CASE(endpointThatWakesFirstDoesNotGetAllRequests)
{
    constexpr uint32_t vmCount = 9;
    constexpr uint32_t requestCount = 36;
    auto configuration = makeConfiguration(vmCount);
    std::vector<FleetRow> reports;
    std::vector<EndpointObservation> observations(vmCount);
    for (RowIndex vm = 0; vm < vmCount; ++vm) {
        configuration->inventory.vms[vm].service = 0;
        reports.push_back(makeReport(configuration->inventory.vms[vm].name, 0, true));
        reports.back().status.admissionLimit = 2;
        if (vm > 0)
            observations[vm].avoidUntil = now + avoidanceDuration(RefusalReason::NoConfiguration);
        observations[vm].avoidedFor = vm > 0 ? RefusalReason::NoConfiguration : RefusalReason::None;
    }
    auto table = makeRoutingTable(configuration, nullptr, reports, 0, now);
    for (uint32_t i = 0; i < requestCount; ++i) {
        auto choice = chooseEndpoint(table, { 0, 0, 0 }, observations, {}, i * 0x9e3779b97f4a7c15, now);
        BOOST_REQUIRE(choice.vm != noRow);
        auto& observation = observations[choice.vm];
        BOOST_TEST((observation.avoidedFor == RefusalReason::None || !choice.hasCapacity));
        ++observation.inProgress;
    }
    auto busiest = std::max_element(observations.begin(), observations.end(), [](const auto& a, const auto& b) { return a.inProgress < b.inProgress; });
    BOOST_TEST(busiest->inProgress <= requestCount / 3);
}
