#define BOOST_TEST_MODULE DemandReport
#include <boost/test/unit_test.hpp>

#include "DemandReport.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace bilberry;

namespace {

DemandReport exampleReport()
{
    DemandReport report;
    report.dataCentre = "a";
    report.accounts = { { accountHash("writer", "x"), 1200, 3400 }, { accountHash("writer", "y"), 0, 5 } };
    report.otherDataCentres = { { "b", Milliseconds(250), { { 7, 30, 31 } } }, { "c", Milliseconds(0), {} } };
    report.workTimes = { { 11, 250, Milliseconds(40) } };
    return report;
}

std::string toBytes(const nlohmann::json& root)
{
    auto bytes = nlohmann::json::to_msgpack(root);
    return std::string(bytes.begin(), bytes.end());
}

} // namespace

BOOST_AUTO_TEST_CASE(aReportIsReadAsItWasWritten)
{
    auto report = exampleReport();
    auto decoded = decodeDemandReport(encodeDemandReport(report));
    BOOST_REQUIRE(decoded.ok());
    BOOST_TEST(decoded->dataCentre == "a");
    BOOST_REQUIRE(decoded->accounts.size() == 2u);
    BOOST_TEST(decoded->accounts[0].account == report.accounts[0].account);
    BOOST_TEST(decoded->accounts[0].engineTime == 1200u);
    BOOST_TEST(decoded->accounts[0].askedTime == 3400u);
    BOOST_TEST(decoded->accounts[1].engineTime == 0u);
    BOOST_TEST(decoded->accounts[1].askedTime == 5u);
    BOOST_REQUIRE(decoded->otherDataCentres.size() == 2u);
    BOOST_TEST(decoded->otherDataCentres[0].dataCentre == "b");
    BOOST_TEST(decoded->otherDataCentres[0].age.count() == 250);
    BOOST_TEST(decoded->otherDataCentres[0].accounts[0].account == 7u);
    BOOST_TEST(decoded->otherDataCentres[0].accounts[0].askedTime == 31u);
    BOOST_REQUIRE(decoded->workTimes.size() == 1u);
    BOOST_TEST(decoded->workTimes[0].endpoint == 11u);
    BOOST_TEST(decoded->workTimes[0].percent == 250u);
    BOOST_TEST(decoded->workTimes[0].age.count() == 40);
}

BOOST_AUTO_TEST_CASE(anAccountHasOneHashForEachService)
{
    BOOST_TEST(accountHash("writer", "x") == accountHash("writer", "x"));
    BOOST_TEST(accountHash("writer", "x") != accountHash("register", "x"));
    BOOST_TEST(accountHash("writer", "x") != accountHash("writer", "y"));
}

BOOST_AUTO_TEST_CASE(bytesThatAreNoReportAreRefused)
{
    using nlohmann::json;
    auto list = json::array();
    const std::vector<json> wrong {
        json::array({ 102, "a", list, list, list }),
        json::array({ 103, "a", list, list }),
        json::array({ 103, 1, list, list, list }),
        json::array({ 103, "a", json::array({ 1 }), list, list }),
        json::array({ 103, "a", json::array({ 1, 2 }), list, list }),
        json::array({ 103, "a", json::array({ 1, 2, -1 }), list, list }),
        json::array({ 103, "a", json::array({ 1, 1ULL << 40, 2 }), list, list }),
        json::array({ 103, "a", list, json::array({ json::array({ "b", 1 }) }), list }),
        json::array({ 103, "a", list, list, json::array({ 1, 2 }) }),
    };
    for (size_t i = 0; i < wrong.size(); ++i) {
        BOOST_TEST_CONTEXT("case " << i)
        BOOST_TEST(!decodeDemandReport(toBytes(wrong[i])).ok());
    }
}

BOOST_AUTO_TEST_CASE(noBytesEndTheProcess)
{
    auto bytes = encodeDemandReport(exampleReport());
    BOOST_TEST(rc::check([&] {
        auto changed = bytes;
        auto position = *rc::gen::inRange<size_t>(0, changed.size());
        changed[position] = *rc::gen::arbitrary<char>();
        changed.resize(*rc::gen::inRange<size_t>(0, changed.size() + 1));
        (void)decodeDemandReport(changed);
    }));
}
