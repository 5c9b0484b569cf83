#define BOOST_TEST_MODULE LogAccount
#include <boost/test/unit_test.hpp>

#include "RequestTimeline.h"

#include <rapidcheck.h>
#include <sstream>

using namespace bilberry;

namespace {

const char twoProcessLog[] = R"(12.5 entry-2 {"time_ms":1000500,"level":"info","vm":"entry-2","event":"request","request":"other","outcome":"answered"}
{"time_ms":1000400,"level":"warning","vm":"entry-1","event":"endpoint_crashed","endpoint":"e1","requests":2}
{"time_ms":990000,"level":"warning","vm":"entry-1","event":"store_lost","reason":"status 503","age_ms":40}
{"time_ms":1000300,"level":"info","vm":"entry-1","event":"attempt_failed","request":"abc","endpoint":"e1","result":"lost","status":0,"after_ms":290}
{"time_ms":999000,"level":"warning","vm":"entry-1","event":"store_lost","reason":"no answer in time","age_ms":700}
{"time_ms":1000100,"level":"warning","vm":"entry-2","event":"store_lost","reason":"elsewhere","age_ms":1}
not a line
{"time_ms":1000900,"level":"info","vm":"entry-1","event":"request","request":"abc","route":"r","outcome":"refused","status":502,"reason":"lost","endpoint":"e1","runs":1,"refusals":0,"queued_ms":3,"first_ms":0,"total_ms":900,"budget_ms":4000,"load_thought":5.0,"load_stated":-1,"belief_age_ms":80,"generation":7}
)";

LogLines parseLog(const std::string& text)
{
    std::istringstream input(text);
    return readLogLines(input);
}

} // namespace

// The timeline holds the request's own lines sorted by time, whatever the order of the input, and the events that may explain
// them. It holds no lines of other requests or other entries, and no events from long before the request.
BOOST_AUTO_TEST_CASE(joinsLinesOfRequest)
{
    auto lines = parseLog(twoProcessLog);
    BOOST_TEST(lines.lines.size() == 7u);
    BOOST_TEST(lines.unreadableCount == 1u);
    auto timeline = formatRequestTimeline(lines, "abc");
    auto attempt = timeline.find("+300 ms  entry-1  attempt at e1 failed after 290 ms: lost");
    auto crash = timeline.find("(meanwhile) entry-1  endpoint_crashed: endpoint e1 requests 2");
    auto end = timeline.find("refused, status 502, lost: the connection to its endpoint ended before the answer; it may have run");
    BOOST_TEST_REQUIRE(attempt != std::string::npos);
    BOOST_TEST_REQUIRE(crash != std::string::npos);
    BOOST_TEST_REQUIRE(end != std::string::npos);
    BOOST_TEST((attempt < crash && crash < end));
    BOOST_TEST(timeline.find("no answer in time") != std::string::npos);
    BOOST_TEST(timeline.find("configuration 7, with a cluster view 80 ms old; endpoint e1 was estimated to have 5 requests\n") != std::string::npos);
    BOOST_TEST(timeline.find("elsewhere") == std::string::npos);
    BOOST_TEST(timeline.find("status 503") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(unknownIdHasEmptyTimeline)
{
    BOOST_TEST(formatRequestTimeline(parseLog(twoProcessLog), "nobody").empty());
    BOOST_TEST(formatRequestTimeline(parseLog(""), "abc").empty());
}

// Arbitrary bytes and fields of the wrong type in a log must not throw or crash.
BOOST_AUTO_TEST_CASE(readsArbitraryBytes)
{
    BOOST_TEST(rc::check([] {
        auto text = *rc::gen::arbitrary<std::string>();
        auto field = *rc::gen::element<std::string>("\"request\":\"a\"", "\"endpoint\":5", "\"key\":[]", "\"status\":\"x\"", "\"total_ms\":null");
        auto log = parseLog(text + "\n{\"time_ms\":1,\"event\":\"request\",\"request\":\"a\"," + field + "}\n");
        RC_ASSERT(!formatRequestTimeline(log, "a").empty());
    }));
}
