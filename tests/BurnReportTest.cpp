#define BOOST_TEST_MODULE BurnReport
#include "BurnReport.h"
#include "DocumentFiles.h"
#include "Refusal.h"
#include "ServiceLevel.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <rapidcheck/boost_test.h>

using namespace bilberry;

static const Configuration& exampleConfiguration()
{
    static const std::string folder = std::string(BILBERRY_SOURCE_DIR) + "/examples/registry/";
    static const Configuration configuration = parseConfiguration(joinDocumentFiles({ folder + "inventory.json", folder + "rules.json" }).value(), 1).value();
    return configuration;
}

// Makes the counters of one entry from the text of its metrics page.
static ProcessCounters makeCounters(const std::string& dataCentre, const std::string& text, uint64_t incarnation = 1)
{
    return { dataCentre + "-entry-1", dataCentre, incarnation, parseMetricsText(text).value() };
}

static const std::string labelPrefix = R"({service="register",caller="court-1")";

// Guards against a cause being counted on the wrong side: faults of the system burn the budget, faults of the caller don't.
BOOST_AUTO_TEST_CASE(countsEachCauseAsGoodBadOrCallerFault)
{
    struct Case {
        const char* name;
        std::string text;
        double good;
        double bad;
        BurnLevel level;
    };
    auto answered = "bilberry_requests_answered_total" + labelPrefix + "} ";
    auto slow = "bilberry_slow_answers_total" + labelPrefix + "} ";
    auto cut = "bilberry_streams_cut_total" + labelPrefix + "} ";
    auto refused = [](const std::string& reason) { return "bilberry_refusals_total" + labelPrefix + ",reason=\"" + reason + "\",outcome=\"not-run\"} "; };
    const std::vector<Case> cases {
        { "all good", answered + "1000\n", 1000, 0, BurnLevel::WithinBudget },
        { "at the objective", answered + "1000\n" + slow + "1\n", 999, 1, BurnLevel::WithinBudget },
        { "slow burn", answered + "1000\n" + slow + "2\n", 998, 2, BurnLevel::SlowBurn },
        { "fast burn", answered + "1000\n" + slow + "10\n" + cut + "10\n", 980, 20, BurnLevel::FastBurn },
        { "slow and cut is bad once", answered + "1\n" + slow + "1\n" + cut + "1\n", 0, 1, BurnLevel::FastBurn },
        { "overload is the system's fault", answered + "900\n" + refused("overloaded") + "100\n", 900, 100, BurnLevel::FastBurn },
        { "a lost reply is the system's fault", refused("reply-lost") + "3\n", 0, 3, BurnLevel::FastBurn },
        { "a bad request is the caller's fault", answered + "10\n" + refused("bad-request") + "90\n", 10, 0, BurnLevel::WithinBudget },
        { "a too large request is the caller's fault", answered + "10\n" + refused("too-large") + "1\n", 10, 0, BurnLevel::WithinBudget },
        { "an answer that was not kept is the system's fault", answered + "9999\n" + refused("answer-not-kept") + "1\n", 9999, 1, BurnLevel::WithinBudget },
        { "an unknown reason of a later version is the system's fault", answered + "10\n" + refused("new-reason") + "1\n", 10, 1, BurnLevel::FastBurn },
    };
    for (const auto& row : cases) {
        BurnSnapshot growth { {}, { makeCounters("tunis-a", row.text) } };
        auto report = makeBurnReport(exampleConfiguration(), growth, growth);
        BOOST_TEST_CONTEXT(row.name)
        {
            BOOST_TEST_REQUIRE(report.rows.size() == 1);
            BOOST_TEST(report.rows[0].longWindow.good == row.good);
            BOOST_TEST(countBadRequests(report.rows[0].longWindow) == row.bad);
            BOOST_TEST((report.rows[0].level == row.level));
        }
    }
}

BOOST_AUTO_TEST_CASE(reportsWindowsDataCentresAndAnnotations)
{
    auto answered = "bilberry_requests_answered_total" + labelPrefix + "} ";
    auto slow = "bilberry_slow_answers_total" + labelPrefix + "} ";
    BurnSnapshot start { {}, { makeCounters("tunis-a", answered + "500\n"), makeCounters("sfax-a", answered + "500\n") } };
    BurnSnapshot middle { {}, { makeCounters("tunis-a", answered + "1500\n"), makeCounters("sfax-a", answered + "1500\n" + slow + "100\n") } };
    std::string outageMetrics = "bilberry_data_centre_out{data_centre=\"sousse-a\"} 1\nbilberry_data_centre_changes_total{data_centre=\"sousse-a\"} 1\n";
    BurnSnapshot end { {}, { makeCounters("tunis-a", answered + "2000\n" + outageMetrics), makeCounters("sfax-a", answered + "2000\n" + slow + "100\n" + outageMetrics) } };
    auto report = makeBurnReport(exampleConfiguration(), subtractSnapshot(end, middle), subtractSnapshot(end, start));
    BOOST_TEST_REQUIRE(report.rows.size() == 1);
    const auto& row = report.rows[0];
    // The fault is over: the long window's burn rate is high, the short window's is zero.
    BOOST_TEST(row.shortBurn == 0);
    BOOST_TEST(row.longBurn > fastBurnRate);
    BOOST_TEST((row.level == BurnLevel::BudgetSpent));
    BOOST_TEST(row.worstDataCentre == "sfax-a");
    BOOST_TEST(row.budgetLeft < 0);
    BOOST_TEST_REQUIRE(report.annotations.size() == 2);
    BOOST_TEST(report.annotations[0].text == "data centre sousse-a is out of service");
    // A restarted process counts from zero.
    BurnSnapshot restarted { {}, { makeCounters("tunis-a", answered + "7\n", 2) } };
    BOOST_TEST(subtractSnapshot(restarted, start).processes[0].samples[0].value == 7);
    // A process that started since the first snapshot counts from zero, too. For one that ran before and wasn't read then, the
    // increase is unknown.
    start.takenAt = WallTime(Milliseconds(1000));
    BurnSnapshot others { {}, { makeCounters("sousse-a", answered + "9\n", 1001) } };
    BOOST_TEST(subtractSnapshot(others, start).processes[0].samples.size() == 1U);
    others.processes[0].incarnation = 1000;
    BOOST_TEST(subtractSnapshot(others, start).processes[0].samples.empty());
}

BOOST_AUTO_TEST_CASE(malformedMetricsAndSnapshotsAreErrors)
{
    for (const auto& text : { "x", "x{", "x{a=", "x{a=\"b} 1", "x{a=\"b\"} y", "{} 1", " {a=\"b\"}" })
        BOOST_TEST(!parseMetricsText(text).ok(), text);
    auto sample = parseMetricsText("# HELP x y\nx{a=\"b\\\"\\n\\\\,}\",c=\"\"} 1.5e3 1700000000\n").value().at(0);
    BOOST_TEST(findLabel(sample.labels, "a") == "b\"\n\\,}");
    BOOST_TEST(sample.value == 1500);
    for (const auto& text : { "", "{}", "[]", R"({"taken_at_unix_ms":1,"processes":[{}]})", R"({"taken_at_unix_ms":"x","processes":[]})" })
        BOOST_TEST(!decodeSnapshot(text).ok(), text);
}

// Makes random counters of one entry for one service and client account.
static ProcessCounters makeRandomCounters(const std::string& dataCentre)
{
    static const std::vector<std::string> reasons { "overloaded", "bad-request", "reply-lost", "data-centre-out", "unknown-service" };
    auto count = [] { return std::to_string(*rc::gen::inRange(0, 1000)); };
    auto answered = *rc::gen::inRange(0, 1000);
    std::string text = "bilberry_requests_answered_total" + labelPrefix + "} " + std::to_string(answered) + "\n";
    text += "bilberry_slow_answers_total" + labelPrefix + "} " + std::to_string(*rc::gen::inRange(0, answered + 1)) + "\n";
    for (const auto& reason : reasons)
        text.append("bilberry_refusals_total").append(labelPrefix).append(",reason=\"").append(reason).append("\"} ").append(count()).append("\n");
    return makeCounters(dataCentre, text);
}

RC_BOOST_PROP(countsEveryRequestOnceInAnyOrderOfProcesses, ())
{
    BurnSnapshot growth { {}, { makeRandomCounters("tunis-a"), makeRandomCounters("sfax-a"), makeRandomCounters("sousse-a") } };
    double requests = 0;
    for (const auto& process : growth.processes) {
        for (const auto& sample : process.samples)
            requests += sample.name == metric::slowAnswers ? 0 : sample.value;
    }
    auto report = makeBurnReport(exampleConfiguration(), growth, growth);
    double counted = 0;
    for (const auto& row : report.rows) {
        const auto& faults = row.longWindow.callerFaultsByReason;
        counted += row.longWindow.good + countBadRequests(row.longWindow);
        counted += std::accumulate(faults.begin(), faults.end(), 0.0, [](double sum, const auto& fault) { return sum + fault.second; });
        RC_ASSERT(row.longWindow.good >= 0);
    }
    RC_ASSERT(counted == requests);
    std::reverse(growth.processes.begin(), growth.processes.end());
    auto reversed = makeBurnReport(exampleConfiguration(), growth, growth);
    RC_ASSERT(reversed.rows.size() == report.rows.size());
    for (size_t i = 0; i < report.rows.size(); ++i)
        RC_ASSERT(reversed.rows[i].longBurn == report.rows[i].longBurn);
}

RC_BOOST_PROP(anotherBadRequestNeverLowersBurnRate, (uint16_t good, uint16_t bad))
{
    OutcomeCounts counts { static_cast<double>(good), { { "slow", static_cast<double>(bad) } }, {} };
    double before = computeBurnRate(counts, 0.999);
    counts.badByCause["cut"] += 1;
    RC_ASSERT(computeBurnRate(counts, 0.999) >= before);
}

RC_BOOST_PROP(decodedSnapshotEqualsEncodedSnapshot, ())
{
    BurnSnapshot snapshot { WallTime(Milliseconds(*rc::gen::inRange<int64_t>(0, int64_t(1) << 40))), { makeRandomCounters("tunis-a") } };
    auto read = decodeSnapshot(encodeSnapshot(snapshot)).value();
    RC_ASSERT(read.takenAt == snapshot.takenAt);
    auto growth = subtractSnapshot(read, snapshot);
    for (const auto& sample : growth.processes[0].samples)
        RC_ASSERT(sample.value == 0);
}
