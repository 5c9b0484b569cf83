#define BOOST_TEST_MODULE ServiceBrief
#include <boost/test/unit_test.hpp>

#include "Belief.h"
#include "EntryDirectory.h"
#include "ServiceBrief.h"

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };

EndpointRecord engine(const std::string& id, const std::string& host, uint32_t version)
{
    EndpointRecord record;
    record.id = id;
    record.address = { host, 80 };
    record.service = "writer";
    record.dataCentre = "dc-a";
    record.reportsModels = true;
    record.models = { { "m", version } };
    record.layers = version == 0 ? 0 : 4;
    record.layersVersion = version;
    return record;
}

Belief makeBelief()
{
    auto table = std::make_shared<RouteTable>();
    ServiceRule writer;
    writer.name = "writer";
    writer.models.push_back({ "m", 4, 8, 4096, Milliseconds(300) });
    ServiceRule portal;
    portal.name = "portal";
    portal.origin = Address { "10.9.0.1", 8000 };
    portal.originDataCentre = "dc-b";
    table->services = { writer, portal };
    indexRouteTable(*table);
    Belief belief;
    belief.routes = table;
    belief.versions["m"] = { { 2, start - Seconds(5) }, { 3, start - Seconds(1) } };
    return belief;
}

} // namespace

BOOST_AUTO_TEST_CASE(aBriefTellsWhatAgentsNeed)
{
    auto belief = makeBelief();
    belief.endpoints.put(engine("b", "10.0.0.2", 2), start);
    belief.endpoints.put(engine("a", "10.0.0.1", 3), start);
    auto foreign = engine("c", "10.0.0.3", 3);
    foreign.service = "other";
    belief.endpoints.put(foreign, start);
    auto brief = describeService(belief, "writer", start);
    BOOST_REQUIRE(brief.has_value());
    BOOST_TEST(brief->model.name == "m");
    BOOST_TEST(brief->origin->host == "10.9.0.1");
    BOOST_TEST(brief->originDataCentre == "dc-b");
    BOOST_TEST(newestNamed(*brief) == 3u);
    BOOST_TEST(brief->named[0].namedFor.count() == 5000);
    BOOST_TEST(brief->engines.size() == 2u);
    BOOST_TEST(brief->engines[0].host == "10.0.0.1");
    BOOST_TEST(brief->engines[0].version == 3u);
    BOOST_TEST(!describeService(belief, "portal", start).has_value());
    BOOST_TEST(!describeService(belief, "unknown", start).has_value());
    BOOST_TEST(!describeService(Belief(), "writer", start).has_value());
}

// An engine that has started anew is listed beside the entry of its former start for a while: nothing is known of its pieces.
BOOST_AUTO_TEST_CASE(aVmThatIsListedTwiceCountsAsEmpty)
{
    auto belief = makeBelief();
    belief.endpoints.put(engine("old", "10.0.0.1", 3), start);
    belief.endpoints.put(engine("new", "10.0.0.1", 0), start);
    auto brief = describeService(belief, "writer", start);
    BOOST_REQUIRE(brief->engines.size() == 1u);
    BOOST_TEST(brief->engines[0].version == 0u);
}

BOOST_AUTO_TEST_CASE(briefsComeBackAsTheyWere)
{
    auto belief = makeBelief();
    belief.endpoints.put(engine("a", "10.0.0.1", 3), start);
    auto sent = *describeService(belief, "writer", start);
    sent.age = Milliseconds(70);
    sent.dataCentre = "dc-a";
    sent.entries = { "10.1.0.1", "10.1.0.2" };
    auto bytes = encodeBrief(sent);
    auto read = decodeBrief(bytes);
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(encodeBrief(*read) == bytes);
    BOOST_TEST(read->model.warmUp.count() == 300);
    BOOST_TEST(read->origin->port == 8000);
    for (size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!decodeBrief(bytes.substr(0, size)).ok());
    sent.origin.reset();
    BOOST_TEST(!decodeBrief(encodeBrief(sent))->origin.has_value());
}

BOOST_AUTO_TEST_CASE(anEntryOfTheOwnDataCentreIsAskedFirst)
{
    EntryDirectory directory;
    directory.ownHost = "10.0.0.1";
    directory.dataCentre = "dc-a";
    BOOST_TEST(chooseEntry(directory, start).empty());
    directory.add("10.2.0.1", {});
    directory.noteAnswer("10.2.0.1", "dc-b");
    BOOST_TEST(chooseEntry(directory, start) == "10.2.0.1");
    // One of which nothing is known may be nearer.
    directory.add("10.1.0.1", {});
    BOOST_TEST(chooseEntry(directory, start) == "10.1.0.1");
    directory.noteAnswer("10.1.0.1", "dc-a");
    directory.add("10.3.0.1", {});
    BOOST_TEST(chooseEntry(directory, start) == "10.1.0.1");
    // One that fails is left, and taken again after a while.
    directory.noteFailure("10.1.0.1", start);
    BOOST_TEST(chooseEntry(directory, start) == "10.3.0.1");
    BOOST_TEST(chooseEntry(directory, start + Seconds(1)) == "10.1.0.1");
    directory.noteFailure("10.1.0.1", start);
    directory.noteFailure("10.2.0.1", start);
    directory.noteFailure("10.3.0.1", start);
    BOOST_TEST(!chooseEntry(directory, start).empty());
}

// Agents of one data centre divide themselves among its entries.
BOOST_AUTO_TEST_CASE(agentsAreSpreadOverEntries)
{
    std::map<std::string, int> askers;
    for (int i = 0; i < 300; ++i) {
        EntryDirectory directory;
        directory.ownHost = "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200);
        directory.dataCentre = "dc-a";
        for (int entry = 0; entry < 6; ++entry)
            directory.add("10.1.0." + std::to_string(entry), "dc-a");
        ++askers[chooseEntry(directory, start)];
    }
    BOOST_TEST(askers.size() == 6u);
    for (const auto& [entry, count] : askers)
        BOOST_TEST(count < 90);
}
