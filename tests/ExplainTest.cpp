#define BOOST_TEST_MODULE Explain
#include "Explain.h"
#include "DocumentFiles.h"
#include "PlanReport.h"
#include "StatusReport.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace bilberry;
using nlohmann::json;

static json exampleDocument()
{
    std::string folder = std::string(BILBERRY_SOURCE_DIR) + "/examples/registry/";
    return json::parse(joinDocumentFiles({ folder + "inventory.json", folder + "rules.json" }).value());
}

static Configuration parseJsonConfiguration(const json& document)
{
    return parseConfiguration(document.dump(), 1).value();
}

// Makes a random report for each endpoint of the drafting service; some reports are missing.
static std::vector<FleetRow> makeRandomReports(const Configuration& configuration, TimePoint now, bool areFresh)
{
    std::vector<FleetRow> rows;
    for (const auto& vm : configuration.inventory.vms) {
        if (vm.service != 0 || *rc::gen::inRange(0, 6) == 0)
            continue;
        FleetRow row;
        row.status.vm = vm.name;
        row.status.admissionLimit = *rc::gen::inRange(1U, 4U);
        row.status.requestsInProgress = *rc::gen::inRange(0U, 5U);
        row.status.isLeaving = *rc::gen::inRange(0, 6) == 0;
        if (*rc::gen::inRange(0, 3) != 0)
            row.status.servedModels.push_back({ "renewal-drafter", "sha256:1" });
        row.reportedAt = now - Milliseconds(areFresh ? 0 : *rc::gen::inRange<int64_t>(0, 2 * reportLifetime.count()));
        rows.push_back(row);
    }
    return rows;
}

static EndpointState findState(const std::vector<EndpointVerdict>& verdicts, RowIndex vm)
{
    auto found = std::find_if(verdicts.begin(), verdicts.end(), [&](const EndpointVerdict& verdict) { return verdict.vm == vm; });
    RC_ASSERT(found != verdicts.end());
    return found->state;
}

static bool hasState(const std::vector<EndpointVerdict>& verdicts, EndpointState state)
{
    return std::any_of(verdicts.begin(), verdicts.end(), [&](const EndpointVerdict& verdict) { return verdict.state == state; });
}

// Guards against an explanation that contradicts routing: routing chooses an endpoint that the explanation calls available.
// Routing discounts the load of an old report, so it may also choose an endpoint that was at its limit by an old report.
RC_BOOST_PROP(explainAgreesWithRouting, (uint64_t random, bool areFresh))
{
    json document = exampleDocument();
    document["rules"]["data_centres_out"] = *rc::gen::elementOf(std::vector<json> { json::array(), json::array({ "tunis-a" }), json::array({ "sfax-a", "sousse-a" }) });
    document["rules"]["vms_leaving"] = *rc::gen::elementOf(std::vector<json> { json::array(), json::array({ "tunis-a-draft-1", "sfax-a-draft-2" }) });
    auto configuration = std::make_shared<const Configuration>(parseJsonConfiguration(document));
    TimePoint now = Clock::now();
    auto reports = makeRandomReports(*configuration, now, areFresh);
    LiveList liveList;
    liveList.vms["tunis-a-draft-2"] = *rc::gen::elementOf(std::vector<LiveState> { LiveState::Live, LiveState::Leaving });
    RoutingTarget target { 0, 0, 0 };
    auto verdicts = explainRequest(*configuration, &liveList, reports, target, now);
    auto table = makeRoutingTable(configuration, &liveList, reports, 0, now);
    RowIndex chosen = chooseEndpoint(table, target, {}, {}, random, now).vm;
    bool hasAvailable = hasState(verdicts, EndpointState::Available);
    bool hasServing = hasAvailable || hasState(verdicts, EndpointState::AtLimit);
    RC_ASSERT(!hasServing || chosen != noRow);
    if (chosen == noRow)
        return;
    auto state = findState(verdicts, chosen);
    RC_ASSERT(state != EndpointState::DataCentreOut && state != EndpointState::Leaving && state != EndpointState::VersionNotReady);
    RC_ASSERT(!hasServing || state != EndpointState::NoRecentReport);
    RC_ASSERT(!hasAvailable || !areFresh || state == EndpointState::Available);
}

BOOST_AUTO_TEST_CASE(explainsWhyModelIsNotPlaced)
{
    struct Case {
        const char* vm;
        const char* path;
        json value;
        const char* reason;
    };
    const std::vector<Case> cases {
        { "tunis-a-entry-1", "/rules/vms_leaving", json::array(), "an entry VM carries no model" },
        { "tunis-a-portal-1", "/rules/vms_leaving", json::array(), R"(the VM is of service "portal", the model of "drafting")" },
        { "tunis-a-draft-1", "/rules/vms_leaving", json::array({ "tunis-a-draft-1" }), "the rules have the VM as leaving" },
        { "tunis-a-draft-1", "/inventory/vms/3/weight_memory_bytes", 5, "its weight memory of 5 bytes is less than the model's 15032385536" },
        { "tunis-a-draft-1", "/rules/placements", json::array(), "no rule wants a replica of the model on this day" },
    };
    for (const auto& row : cases) {
        json document = exampleDocument();
        document[json::json_pointer(row.path)] = row.value;
        auto configuration = parseJsonConfiguration(document);
        auto verdicts = explainVm(configuration, nullptr, findRow(configuration.inventory.vms, row.vm), *parseCivilDate("2026-06-01"));
        BOOST_TEST_REQUIRE(verdicts.size() == 1);
        BOOST_TEST(!verdicts[0].isPlaced);
        BOOST_TEST(verdicts[0].reason == row.reason);
    }
}

BOOST_AUTO_TEST_CASE(planShowsBurstsAndShortfalls)
{
    json document = exampleDocument();
    document["rules"]["bursts"][0]["replicas"] = 9;
    auto configuration = parseJsonConfiguration(document);
    struct Day {
        const char* date;
        bool isActive;
    };
    // In the Umm al-Qura calendar, 1 Ramadan 1448 is 8 February 2027. The burst has two lead days and lasts thirty days.
    for (const Day& day : { Day { "2027-02-05", false }, Day { "2027-02-06", true }, Day { "2027-03-09", true }, Day { "2027-03-10", false } }) {
        auto report = makePlanReport(configuration, nullptr, *parseCivilDate(day.date));
        BOOST_TEST(report.bursts[0].isActive == day.isActive, day.date);
        BOOST_TEST(report.placement.shortfalls.empty() != day.isActive, day.date);
        BOOST_TEST((formatPlan(configuration, report).find("short: renewal-drafter wants 9") != std::string::npos) == day.isActive);
    }
    for (const char* wrong : { "", "2027-02-30", "2027-2-3", "06/02/2027", "2027-02-06x" })
        BOOST_TEST(!parseCivilDate(wrong), wrong);
}

BOOST_AUTO_TEST_CASE(reportsProcessesThatDisagree)
{
    ProcessStatus first;
    first.vm = "a";
    first.configurationGeneration = 7;
    first.configurationDigest = "x";
    ProcessStatus second = first;
    second.vm = "b";
    BOOST_TEST(findDisagreements({ first, second }).empty());
    second.configurationDigest = "y";
    BOOST_TEST(findDisagreements({ first, second }).size() == 2);
    second.configurationGeneration = 8;
    BOOST_TEST(findDisagreements({ first, second })[1] == "generation 8 is in force at b");
    for (const char* malformed : { "{}", "[]", R"({"vm":1})" })
        BOOST_TEST(!parseProcessStatus(json::parse(malformed), "127.0.0.1:1"));
    auto parsed = parseProcessStatus(json::parse(R"({"vm":"a","role":"entry","data_centre":"d","version":"0","incarnation":1,"is_leaving":false,"in_progress":2,
        "documents":[{"kind":"configuration","generation":3,"digest":"x"},{"kind":"live","generation":4,"digest":"y"}],"vms":[]})"),
        "127.0.0.1:1");
    BOOST_TEST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->liveListGeneration == 4);
}
