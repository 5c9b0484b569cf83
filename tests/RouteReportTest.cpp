#define BOOST_TEST_MODULE RouteReport
#include <boost/test/unit_test.hpp>

#include "RouteReport.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace bilberry;

namespace {

RouteReport exampleReport()
{
    RouteReport report;
    report.outcome = "waits";
    report.route = "drafts";
    report.service = "writer";
    report.accountPriority = 1;
    report.routePriority = 2;
    report.expectedWait = Milliseconds::max();
    report.allowedWait = Milliseconds(186);
    report.waitingAhead = 4;
    report.generation = 7;
    report.candidates = { { "e-1", "dc-a", 10.5, 12, Milliseconds(40), "none" }, { "e-2", "dc-b", 0, 12, Milliseconds::max(), "draining" } };
    return report;
}

} // namespace

BOOST_AUTO_TEST_CASE(aQuestionIsReadAsItWasWritten)
{
    BOOST_TEST(rc::check([] {
        RouteQuestion question;
        question.host = "h" + *rc::gen::arbitrary<std::string>();
        question.path = "/" + *rc::gen::arbitrary<std::string>();
        question.account = *rc::gen::arbitrary<std::string>();
        question.model = *rc::gen::arbitrary<std::string>();
        question.promptTokens = *rc::gen::arbitrary<uint32_t>();
        question.sharedPromptParts = *rc::gen::arbitrary<std::vector<uint64_t>>();
        auto read = parseRouteQuestion(toTarget(question));
        RC_ASSERT(read.ok());
        RC_ASSERT(read->host == question.host);
        RC_ASSERT(read->path == question.path);
        RC_ASSERT(read->account == question.account);
        RC_ASSERT(read->model == question.model);
        RC_ASSERT(read->promptTokens == question.promptTokens);
        RC_ASSERT(read->sharedPromptParts == question.sharedPromptParts);
    }));
}

BOOST_AUTO_TEST_CASE(faultsOfAQuestionAreNamed)
{
    struct Case {
        const char* target;
        const char* fault;
    };
    const std::vector<Case> cases {
        { "/route", "host" },
        { "/route?path=2f", "host" },
        { "/route?host=61", "path" },
        { "/route?host=61&path=62", "path" },
        { "/route?host=6", "host" },
        { "/route?host=zz&path=2f", "host" },
        { "/route?host=61&path=2f&prompt_tokens=78", "prompt_tokens" },
        { "/route?host=61&path=2f&parts=7a7a", "parts" },
        { "/route?host=61&path=2f&key=61", "key" },
    };
    for (const auto& row : cases) {
        auto read = parseRouteQuestion(row.target);
        BOOST_TEST_CONTEXT(row.target)
        {
            BOOST_REQUIRE(!read.ok());
            BOOST_TEST(std::string(read.status().message()).find(row.fault) == 0u);
        }
    }
}

BOOST_AUTO_TEST_CASE(aReportIsReadAsItWasWritten)
{
    auto report = exampleReport();
    auto read = parseRouteReport(toJson(report).dump());
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(toJson(*read) == toJson(report));
    BOOST_TEST((read->expectedWait == Milliseconds::max()));
    BOOST_TEST(!parseRouteReport("{}").ok());
    BOOST_TEST(!parseRouteReport("no JSON").ok());
}

BOOST_AUTO_TEST_CASE(theTextNamesWhatDecides)
{
    auto text = formatRouteReport(exampleReport());
    for (const char* part : { "waits: 4 ahead, expected unknown, at most 186 ms", "account 1, route 2", "draining", "can take it", "stated 40 ms ago" })
        BOOST_TEST(text.find(part) != std::string::npos);
    RouteReport refused;
    refused.outcome = "refused";
    refused.reason = "no_route";
    refused.status = 404;
    BOOST_TEST(formatRouteReport(refused) == "refused: no_route (404), Retry-After 0 ms\n");
}
