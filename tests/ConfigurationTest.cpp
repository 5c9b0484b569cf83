#define BOOST_TEST_MODULE Configuration
#include "Configuration.h"
#include "ConfigurationReview.h"
#include "DocumentFiles.h"
#include "LiveList.h"

#include <absl/strings/str_split.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace bilberry;
using nlohmann::json;

static json loadExample()
{
    std::string folder = std::string(BILBERRY_SOURCE_DIR) + "/examples/registry/";
    return json::parse(joinDocumentFiles({ folder + "inventory.json", folder + "rules.json" }).value());
}

static std::vector<std::string> findFaults(const std::string& text)
{
    auto parsed = parseConfiguration(text, 1);
    if (parsed.ok())
        return {};
    return absl::StrSplit(std::string(parsed.status().message()), '\n');
}

struct Change {
    const char* path;
    json value;
    const char* expected; // Complete text of the fault or finding; null when any fault will do.
};

static const std::vector<Change> brokenDocuments {
    { "/inventory/vms/3/address", "10.20.0.12", R"($.inventory.vms[3].address: "10.20.0.12": must be IP:port)" },
    { "/inventory/vms/3/data_centre", "gafsa-a", R"($.inventory.vms[3].data_centre: "gafsa-a": names nothing that the inventory has)" },
    { "/inventory/vms/4/name", "tunis-a-draft-1", R"($.inventory.vms[4].name: "tunis-a-draft-1": is used twice)" },
    { "/inventory/vms/3/name", "a\r\nb", R"($.inventory.vms[3].name: "a\r\nb": must have at most 128 letters, digits, "-", "_" and ".")" },
    { "/inventory/vms/3/cold_concurrency", 17, "$.inventory.vms[3].cold_concurrency: 17: must not be above max_concurrency" },
    { "/inventory/vms/3/back_end", "10.20.0.12:7000", R"($.inventory.vms[3].back_end: "10.20.0.12:7000": is the address of the system's own process)" },
    { "/inventory/models/0/size_bytes", "14G", R"($.inventory.models[0].size_bytes: "14G": must be an integer from 1 to 1125899906842624)" },
    { "/inventory/models/0/size_bytes", UINT64_MAX, "$.inventory.models[0].size_bytes: 18446744073709551615: must be an integer from 1 to 1125899906842624" },
    { "/inventory/models/0/service", "portal", R"($.inventory.models[0].service: "portal": is a plain service; a model needs one of kind "model")" },
    { "/inventory/services/1/path_prefix", "/metrics", R"($.inventory.services[1].path_prefix: "/metrics": is a path of the system's own)" },
    { "/inventory/services/1/path_prefix", "/portal", R"($.inventory.services[2].path_prefix: "/portal": is used twice)" },
    { "/inventory/callers/0/key_sha256", std::string(64, 'A'), nullptr },
    { "/rules/unrepeatable/0/method", "post", R"($.rules.unrepeatable[0].method: "post": must be an HTTP method in capitals)" },
    { "/rules/unrepeatable/0/path_prefix", "/portal/x", R"($.rules.unrepeatable[0].path_prefix: "/portal/x": matches no request of the service, whose paths start with "/register")" },
    { "/rules/services/1/service", "drafting", R"($.rules.services[1].service: "drafting": has rules already)" },
    { "/rules/services/0/default_timeout_ms", 120'001, "$.rules.services[0].default_timeout_ms: 120001: must not be above max_timeout_ms" },
    { "/rules/services/0/objective", 1, "$.rules.services[0].objective: 1: must be a number from 0.5 to 0.999999" },
    { "/rules/bursts/0/calendar", "lunar", R"($.rules.bursts[0].calendar: "lunar": must be islamic-umalqura, islamic-civil, chinese, hebrew, persian or gregorian)" },
    { "/rules/data_centres_out", json::array({ "sfax" }), R"($.rules.data_centres_out: ["sfax"]: names "sfax", which the inventory does not have)" },
    { "/rules/placements", json::object(), "$.rules.placements: {}: must be an array" },
    { "/rules/placements/0", nullptr, "$.rules.placements[0]: null: must be an object" },
    { "/rules", 3, "$.rules: 3: must be an object" },
};

BOOST_AUTO_TEST_CASE(eachBrokenDocumentNamesPathValueAndReason)
{
    for (const auto& change : brokenDocuments) {
        json document = loadExample();
        document[json::json_pointer(change.path)] = change.value;
        auto faults = findFaults(document.dump());
        BOOST_TEST_CONTEXT(change.path << " = " << change.value)
        {
            BOOST_TEST_REQUIRE(!faults.empty());
            bool isNamed = !change.expected || std::find(faults.begin(), faults.end(), change.expected) != faults.end();
            BOOST_TEST(isNamed, faults.front());
        }
    }
}

BOOST_AUTO_TEST_CASE(allFaultsAreReportedAtOnceAndUnknownFieldsAreWarnings)
{
    json document = loadExample();
    document["inventory"]["vms"][3]["address"] = "x";
    document["inventory"]["callers"][0].erase("name");
    document["rules"]["bursts"][1]["day"] = 0;
    document["rules"]["unrepeatable"][0]["method"] = 5;
    BOOST_TEST(findFaults(document.dump()).size() == 4);
    document = loadExample();
    document["rules"]["placements"][0]["replica"] = 3;
    document["extra"] = true;
    auto parsed = parseConfiguration(document.dump(), 1);
    BOOST_TEST_REQUIRE(parsed.ok());
    std::vector<std::string> expected { "$.extra: unknown field, ignored", "$.rules.placements[0].replica: unknown field, ignored" };
    BOOST_TEST(parsed->warnings == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(contradictionsAreFindingsOfTheReview)
{
    const std::vector<Change> contradictions {
        { "/rules/bursts/0/replicas", 11, R"($.rules.bursts[0].replicas: 11: only 10 VMs can carry "renewal-drafter")" },
        { "/rules/data_centres_out", json::array({ "tunis-a", "sfax-a", "sousse-a" }), "$.rules.data_centres_out: 3 names: every data centre is out, so that each request is refused" },
        { "/inventory/services/2/path_prefix", "/register/portal", R"($.inventory.services[2].path_prefix: "/register/portal": takes these paths from service "register", whose prefix is "/register")" },
        { "/inventory/vms/16/service", "register", R"($.inventory.services[2]: "portal": has no endpoint, so that each request is refused)" },
        { "/inventory/models/0/size_bytes", uint64_t(1) << 40, "$.inventory.models[0].size_bytes: 1099511627776: is more than weight_memory_bytes of each VM of its service" },
        { "/rules/unrepeatable/1/path_prefix", "/register/suspensions", R"($.rules.unrepeatable[1]: "/register/suspensions": rule 0 covers it already)" },
        { "/rules/bursts/0/month", 13, R"($.rules.bursts[0]: "ramadan": islamic-umalqura has no such day in the next two years)" },
    };
    WallTime day {};
    BOOST_TEST(reviewConfiguration(parseConfiguration(loadExample().dump(), 1).value(), day).empty());
    for (const auto& change : contradictions) {
        json document = loadExample();
        document[json::json_pointer(change.path)] = change.value;
        auto parsed = parseConfiguration(document.dump(), 1);
        BOOST_TEST_REQUIRE(parsed.ok(), change.path);
        auto findings = reviewConfiguration(*parsed, day);
        BOOST_TEST((std::find(findings.begin(), findings.end(), change.expected) != findings.end()), change.path);
    }
}

BOOST_AUTO_TEST_CASE(deepNestingIsAFaultAndNoCrash)
{
    std::string deep = R"({"vms":)" + std::string(400'000, '[') + std::string(400'000, ']') + "}";
    BOOST_TEST(findFaults(deep).size() == 1);
    BOOST_TEST(!parseLiveList(deep, 1).ok());
}
