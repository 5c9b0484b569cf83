#define BOOST_TEST_MODULE NodeReport
#include <boost/test/unit_test.hpp>

#include "NodeReport.h"

#include <nlohmann/json.hpp>

using namespace bilberry;

namespace {

NodeMetrics extractFromPage(const std::string& page)
{
    auto samples = parseMetricsText(page);
    BOOST_REQUIRE(samples.ok());
    return extractNodeMetrics("10.0.0.1:9100", *samples);
}

const char entryMetricsPage[] = R"(# HELP bilberry_requests_total x
bilberry_requests_total{outcome="answered",reason=""} 900
bilberry_requests_total{outcome="refused",reason="overloaded"} 6
bilberry_requests_total{outcome="refused",reason="unknown_key"} 50
bilberry_requests_total{outcome="cut_off",reason="lost"} 4
bilberry_belief_age_seconds 0.25
bilberry_requests_in_progress 7
bilberry_log_lines_dropped 3
process_cpu_seconds 12.5
process_resident_memory_bytes 9000000
)";

} // namespace

BOOST_AUTO_TEST_CASE(readsEntryMetrics)
{
    auto metrics = extractFromPage(entryMetricsPage);
    BOOST_TEST(!metrics.isAgent);
    BOOST_TEST(metrics.requests["refused/overloaded"] == 6);
    BOOST_TEST(metrics.requests["answered"] == 900);
    auto line = formatNodeMetrics(metrics);
    BOOST_TEST(line == "10.0.0.1:9100  entry  cluster view 0.25 s old, 7 requests in progress; ended: answered 900, cut_off/lost 4, refused/overloaded 6, refused/unknown_key 50; 3 log lines dropped, 12.50 s of CPU time, 9.0 MB\n");
    BOOST_TEST(toJson(metrics)["requests"]["answered"].get<double>() == 900);
}

BOOST_AUTO_TEST_CASE(readsAgentMetrics)
{
    auto metrics = extractFromPage("bilberry_weights_version 2\nbilberry_weights_wanted_version 3\nbilberry_pieces_missing 12\n");
    BOOST_TEST(metrics.isAgent);
    BOOST_TEST(formatNodeMetrics(metrics).find("weights 2, wanted 3, 12 pieces missing") != std::string::npos);
}

// Failures that the caller caused don't raise the burn rate.
BOOST_AUTO_TEST_CASE(onlySystemFailuresRaiseBurnRate)
{
    auto burn = computeNodeBurn(extractFromPage(entryMetricsPage).requests, 0.99);
    BOOST_TEST(burn.good == 900);
    BOOST_TEST(burn.bad == 10);
    BOOST_TEST(burn.badByCause.size() == 2u);
    BOOST_TEST(burn.burnRate == 10.0 / 910 / 0.01, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(computeNodeBurn({}, 0.99).burnRate == 0);
}

// A process that restarted between two readings counts from its start.
BOOST_AUTO_TEST_CASE(countsRequestsBetweenReadings)
{
    auto before = extractFromPage(entryMetricsPage);
    auto now = before;
    now.cpuSeconds += 1;
    now.requests["answered"] = 1000;
    BOOST_TEST(requestsBetween({ before }, { now })["answered"] == 100);
    now.cpuSeconds = 0.5;
    now.requests["answered"] = 30;
    BOOST_TEST(requestsBetween({ before }, { now })["answered"] == 30);
    BOOST_TEST(requestsBetween({}, { now })["answered"] == 30);
}
