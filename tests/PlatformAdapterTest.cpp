#define BOOST_TEST_MODULE PlatformAdapter
#include <boost/test/unit_test.hpp>

#include "PlatformAdapter.h"

#include <rapidcheck.h>

using namespace bilberry;

namespace {

const RequestAdapter& requestAdapter()
{
    return platformAdapter().requests;
}

HttpRequest makeCallerRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/a/b?x=1";
    request.headers = { { "Host", "h.example" }, { "Bilberrybarrow-Request-Id", "abc" }, { "Bilberrybarrow-Deadline-Ms", "6000" },
        { "Authorization", "Token secret" }, { "Last-Event-Id", "12" }, { "Bilberrybarrow-Model", "m" }, { "Bilberrybarrow-Token-Usage", "1460,80" },
        { "Bilberrybarrow-Length-Hint", "35" }, { "Bilberrybarrow-Prompt-Prefix", "5c1e07a2:800" }, { "Connection", "keep-alive, X-Hop" }, { "X-Hop", "1" }, { "X-Kept", "2" },
        { "Bilberrybarrow-Tenant", "forged" }, { "Bilberrybarrow-Expect-Instance", "forged" }, { "Bilberrybarrow-Request-Priority", "0" }, { "Transfer-Encoding", "chunked" } };
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(callerHeadersAreParsed)
{
    auto caller = requestAdapter().parseCallerRequest(makeCallerRequest());
    BOOST_TEST(caller.id == "abc");
    BOOST_TEST((caller.timeBudget == Milliseconds(6000)));
    BOOST_TEST(caller.apiKey == "secret");
    BOOST_TEST((caller.lastEventId == std::optional<uint64_t>(12)));
    BOOST_TEST(caller.model == "m");
    BOOST_TEST(caller.promptTokens == 1460u);
    BOOST_TEST(caller.maxAnswerTokens == 80u);
    BOOST_TEST(caller.estimatedAnswerTokens == 35u);
}

BOOST_AUTO_TEST_CASE(aLastEventIdThatNamesNoOneEventIsNoticed)
{
    struct Row {
        std::vector<std::string> values;
        std::optional<uint64_t> id;
        bool isUnreadable;
    };
    for (const auto& row : std::vector<Row> { { {}, {}, false }, { { "" }, {}, false }, { { "0" }, 0, false }, { { "12" }, 12, false }, { { "18446744073709551615" }, 18446744073709551615ULL, false },
             { { "18446744073709551616" }, {}, true }, { { "-1" }, {}, true }, { { "abc" }, {}, true }, { { "1.5" }, {}, true }, { { "3, 5" }, {}, true }, { { "3", "5" }, {}, true }, { { "3", "3" }, {}, true }, { { "", "3" }, {}, true } }) {
        HttpRequest request;
        for (const auto& value : row.values)
            request.headers.emplace_back("last-event-id", value);
        auto caller = requestAdapter().parseCallerRequest(request);
        BOOST_TEST((caller.lastEventId == row.id));
        BOOST_TEST(caller.hasUnreadableLastEventId == row.isUnreadable);
    }
}

BOOST_AUTO_TEST_CASE(missingOrInvalidCallerHeadersAreIgnored)
{
    auto caller = requestAdapter().parseCallerRequest({});
    BOOST_TEST(caller.id.empty());
    BOOST_TEST(!caller.timeBudget.has_value());
    BOOST_TEST(caller.apiKey.empty());
    for (const char* budget : { "", "x", "-5", "1e3", "99999999999999999999" }) {
        HttpRequest request;
        request.headers = { { "Bilberrybarrow-Deadline-Ms", budget } };
        BOOST_TEST(!requestAdapter().parseCallerRequest(request).timeBudget.has_value());
    }
    for (const char* authorization : { "", "Token", "Basic secret", "secret" }) {
        HttpRequest request;
        request.headers = { { "Authorization", authorization } };
        BOOST_TEST(requestAdapter().parseCallerRequest(request).apiKey.empty());
    }
}

// All parts but the last one, which is the request's own, are read.
BOOST_AUTO_TEST_CASE(sharedPartsOfThePromptAreParsed)
{
    struct Row {
        const char* header;
        std::vector<uint64_t> ids;
    };
    const std::vector<Row> rows {
        { "", {} }, { "5c:800", {} }, { "5c1e07a2:800,91bd3f06:410,e4402b7d:250", { 0x5c1e07a2, 0x91bd3f06 } }, { "a:1, b:2 ,c:3", { 0xa, 0xb } },
        { "a:1,a:1,b:2", { 0xa } }, { "ffffffffffffffff:1,b:2", { UINT64_MAX } }, { "a:1,,x:1,b,c:,:4,d:-1,10000000000000000:1,e:5,f:6", { 0xa, 0xe } }, { "a:1,broken", { 0xa } }
    };
    for (const auto& row : rows) {
        HttpRequest request;
        request.headers = { { "Bilberrybarrow-Prompt-Prefix", row.header } };
        auto ids = requestAdapter().parseCallerRequest(request).sharedPromptParts;
        BOOST_TEST_CONTEXT(row.header) { BOOST_TEST(ids == row.ids, boost::test_tools::per_element()); }
    }
    HttpRequest longRequest;
    std::string header;
    for (int part = 0; part < 1000; ++part)
        header += std::to_string(part) + ":1,";
    longRequest.headers = { { "Bilberrybarrow-Prompt-Prefix", header + "a:1" } };
    auto parts = requestAdapter().parseCallerRequest(longRequest).sharedPromptParts;
    BOOST_TEST(parts.size() == maxSharedPromptParts);
}

// The API key isn't forwarded to an endpoint, and a caller can't set the headers that only the system may set. All other
// end-to-end headers are forwarded unchanged.
BOOST_AUTO_TEST_CASE(endpointHeadersAreMadeFromTheCallersHeaders)
{
    EndpointRequestFields fields;
    fields.timeLeft = Milliseconds(5400);
    fields.endpointId = "i-1";
    fields.account = "acme";
    fields.lastEventId = 13;
    fields.weightVersion = 4;
    auto headers = requestAdapter().makeEndpointHeaders(makeCallerRequest().headers, fields);
    const std::vector<std::pair<const char*, const char*>> expected { { "Host", "h.example" }, { "Bilberrybarrow-Request-Id", "abc" }, { "Bilberrybarrow-Deadline-Ms", "5400" },
        { "Authorization", "" }, { "Last-Event-Id", "13" }, { "Bilberrybarrow-Model", "m" }, { "Bilberrybarrow-Token-Usage", "1460,80" }, { "Bilberrybarrow-Prompt-Prefix", "5c1e07a2:800" },
        { "Connection", "" }, { "X-Hop", "" }, { "X-Kept", "2" }, { "Bilberrybarrow-Tenant", "acme" }, { "Bilberrybarrow-Expect-Instance", "i-1" },
        { "Bilberrybarrow-Request-Priority", "" }, { "Bilberrybarrow-Expect-Version", "4" }, { "Transfer-Encoding", "" } };
    for (const auto& [name, value] : expected)
        BOOST_TEST_CONTEXT(name) { BOOST_TEST(findHeader(headers, name) == value); }
    fields.account.clear();
    fields.lastEventId.reset();
    fields.weightVersion.reset();
    headers = requestAdapter().makeEndpointHeaders(makeCallerRequest().headers, fields);
    BOOST_TEST(findHeader(headers, "Bilberrybarrow-Tenant").empty());
    BOOST_TEST(findHeader(headers, "Last-Event-Id").empty());
    BOOST_TEST(findHeader(headers, "Bilberrybarrow-Expect-Version").empty());
}

BOOST_AUTO_TEST_CASE(endpointReplyHeadersAreParsed)
{
    struct Row {
        int status;
        HttpHeaders headers;
        bool isSealed;
        bool isNotExecuted;
        bool hasLoad;
    };
    const std::vector<Row> rows {
        { 200, { { "Bilberrybarrow-Response-Seal", "x" }, { "Bilberrybarrow-Server-Load", "3,0,8" } }, true, false, true },
        { 503, { { "Bilberrybarrow-Not-Executed", "1" } }, false, true, false },
        { 421, {}, false, true, false },
        { 503, {}, false, false, false },
        { 429, {}, false, false, false },
        { 200, { { "Bilberrybarrow-Server-Load", "3,0" } }, false, false, false },
        { 200, { { "Bilberrybarrow-Server-Load", "a,b,c" } }, false, false, false },
    };
    for (const auto& row : rows) {
        auto reply = requestAdapter().parseReply({ row.status, row.headers });
        BOOST_TEST(reply.isSealed == row.isSealed);
        BOOST_TEST(reply.isNotExecuted == row.isNotExecuted);
        BOOST_TEST(reply.load.has_value() == row.hasLoad);
    }
}

// Each row gives a header with which an endpoint states its load, and what is read of it. Endpoints of some services state a fourth
// figure; without it, entries would place requests blindly there when the load is high.
BOOST_AUTO_TEST_CASE(allFormsOfTheLoadAreParsed)
{
    struct Row {
        HttpHeaders headers;
        std::optional<uint32_t> running; ///< Nothing if no load is read.
        std::optional<uint32_t> workTimePercent;
        bool isUnreadable;
    };
    auto stated = [](const char* text) { return HttpHeaders { { "bilberrybarrow-server-load", text } }; };
    const std::vector<Row> rows {
        { {}, {}, {}, false },
        { stated(""), {}, {}, false },
        { stated("3,1,8"), 3, {}, false },
        { stated(" 3 , 1 , 8 "), 3, {}, false },
        { stated("3,1,8,100"), 3, 100, false },
        { stated("3,1,8, 250 "), 3, 250, false },
        { stated("3,1,8,99.6"), 3, 100, false },
        { stated("3,1,8,10"), 3, 10, false },
        { stated("3,1,8,10000"), 3, 10'000, false },
        { stated("3,1,8,100,7,x"), 3, 100, false },
        { stated("3,1,8,"), 3, {}, true },
        { stated("3,1,8,,7"), 3, {}, true },
        { stated("3,1,8,x"), 3, {}, true },
        { stated("3,1,8,-100"), 3, {}, true },
        { stated("3,1,8,0"), 3, {}, true },
        { stated("3,1,8,9"), 3, {}, true },
        { stated("3,1,8,10001"), 3, {}, true },
        { stated("3,1,8,1e2"), 3, {}, true },
        { stated("3,1,8,nan"), 3, {}, true },
        { stated("3,1,8,100%"), 3, {}, true },
        { stated("3,1,8,1.0.0"), 3, {}, true },
        { stated("3,1,8,99999999999999999999999"), 3, {}, true },
        { stated("3"), {}, {}, true },
        { stated("3,1"), {}, {}, true },
        { stated("3,,8,100"), {}, {}, true },
        { stated("a,b,c"), {}, {}, true },
        { stated("3,-1,8"), {}, {}, true },
        { stated("3;1;8"), {}, {}, true },
        { stated("4294967295,1,8,100"), {}, {}, true },
        { stated("1000001,1,8"), {}, {}, true },
        { stated("1000000,1,8"), 1'000'000, {}, false },
        { stated("99999999999999999999,1,8"), {}, {}, true },
        { { { "Bilberrybarrow-Server-Load", "3,1,8,100" }, { "Bilberrybarrow-Server-Load", "9,9,9,900" } }, 3, 100, false },
    };
    for (const auto& row : rows) {
        auto reply = requestAdapter().parseReply({ 200, row.headers });
        BOOST_TEST_CONTEXT((row.headers.empty() ? "no header" : row.headers[0].second))
        {
            BOOST_TEST(reply.load.has_value() == row.running.has_value());
            BOOST_TEST(reply.isLoadUnreadable == row.isUnreadable);
            if (!reply.load)
                continue;
            BOOST_TEST(reply.load->running == *row.running);
            BOOST_TEST(reply.load->waiting == 1u);
            BOOST_TEST(reply.load->slots == 8u);
            BOOST_TEST((reply.load->workTimePercent == row.workTimePercent));
        }
    }
}

// No header makes the parser fail, and what it reads is within the bounds.
BOOST_AUTO_TEST_CASE(arbitraryLoadsAreReadOrRefused)
{
    BOOST_TEST(rc::check([] {
        auto part = rc::gen::element<std::string>("3", "0", ",", ",", ".", "-", "1e9", "100", "99999999999", " ", "nan", "%");
        std::string text;
        for (const auto& piece : *rc::gen::container<std::vector<std::string>>(part))
            text += piece;
        auto reply = requestAdapter().parseReply({ 200, { { "Bilberrybarrow-Server-Load", text } } });
        RC_ASSERT(reply.load || reply.isLoadUnreadable == !text.empty());
        if (reply.load && reply.load->workTimePercent)
            RC_ASSERT(*reply.load->workTimePercent >= 10u && *reply.load->workTimePercent <= 10'000u);
    }));
}

// Each row gives the status and headers of an answer, and what the endpoint states with them about itself.
BOOST_AUTO_TEST_CASE(statementsOfEndpointsAreParsed)
{
    struct Row {
        int status;
        HttpHeaders headers;
        bool isLeaving;
        std::optional<Milliseconds> retryAfter;
        bool isUnreadable;
    };
    const auto longest = Milliseconds(1'000'000'000);
    const std::vector<Row> rows {
        { 200, {}, false, std::nullopt, false },
        { 200, { { "Server-Leaving", "1" } }, true, std::nullopt, false },
        { 503, { { "server-leaving", "1" } }, true, std::nullopt, false },
        { 421, { { "Server-Leaving", "1" } }, true, std::nullopt, false },
        { 200, { { "Server-Leaving", "0" } }, false, std::nullopt, false },
        { 200, { { "Server-Leaving", "" } }, false, std::nullopt, false },
        { 503, { { "Retry-After", "3" } }, false, Milliseconds(3000), false },
        { 503, { { "Retry-After", "0" } }, false, Milliseconds(0), false },
        { 503, { { "Retry-After", "1.25" } }, false, Milliseconds(1250), false },
        { 503, { { "Retry-After", "0.0001" } }, false, Milliseconds(1), false },
        { 503, { { "Retry-After", "99999999999999999999999" } }, false, longest, false },
        { 503, { { "Retry-After", "-3" } }, false, std::nullopt, true },
        { 503, { { "Retry-After", "soon" } }, false, std::nullopt, true },
        { 503, { { "Retry-After", "1.2.3" } }, false, std::nullopt, true },
        { 503, { { "Retry-After", "1e3" } }, false, std::nullopt, true },
        { 503, { { "Retry-After", "nan" } }, false, std::nullopt, true },
        { 503, { { "Retry-After", "Fri, 04 Dec 2026 10:00:00 GMT" } }, false, std::nullopt, true },
        { 503, { { "Retry-After", "" } }, false, std::nullopt, false },
        { 429, { { "Retry-After", "3" } }, false, std::nullopt, false },
        { 200, { { "Retry-After", "3" } }, false, std::nullopt, false },
    };
    for (const auto& row : rows) {
        auto reply = requestAdapter().parseReply({ row.status, row.headers });
        BOOST_TEST_CONTEXT(row.status << " " << (row.headers.empty() ? "" : row.headers[0].second))
        {
            BOOST_TEST(reply.isLeaving == row.isLeaving);
            BOOST_TEST((reply.retryAfter == row.retryAfter));
            BOOST_TEST(reply.isRetryAfterUnreadable == row.isUnreadable);
        }
    }
}

BOOST_AUTO_TEST_CASE(configurationIsParsed)
{
    auto table = platformAdapter().store.parseRouteTable(R"({"version":7,"routes":[
        {"name":"r1","hostname":"H.example","prefix":"/a/","kind":"streaming","timeout-ms":6000,"target-latency-ms":400,"priority":1,"service":"s","max-attempts":2,"allow-anonymous":false,"can-resume":true,"target-gap-ms":400,"allowed-regions":["north"]},
        {"name":"r2","hostname":"h.example","prefix":"/a/b/","kind":"idempotent","timeout-ms":600,"target-latency-ms":100,"traffic-split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max-attempts":3,"allow-anonymous":true},
        {"name":"r3","hostname":"h.example","prefix":"/c/","kind":"something-new","service":"s"}],
        "services":[{"name":"s","max-connections":424,"cold-per-s":36.0,"engine":{"slots":16,"stride":5,"step_ms":9.27,"read_per_s":20700.0,"usual":{"prompt":979,"answer":92},"layers":16,"chunks":64,"chunk-bytes":32768,"models":[{"name":"m","warmup-s":0.3}]}},
        {"name":"o","origin":"172.20.0.3:8006","zone":"z"}],
        "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
        "tenants":[{"name":"acme","api-keys":["k1","k2"],"priority":0,"allowed-regions":[]}]})");
    BOOST_REQUIRE(table.ok());
    BOOST_TEST(table->generation == 7u);
    BOOST_TEST(findRoute(*table, "h.EXAMPLE:80", "/a/x?y=/a/b/")->name == "r1");
    BOOST_TEST(findRoute(*table, "h.example", "/a/b/c")->name == "r2");
    BOOST_TEST((findRoute(*table, "h.example", "/a") == nullptr));
    BOOST_TEST((findRoute(*table, "other.example", "/a/x") == nullptr));
    // A request of an unknown kind must not be repeated.
    BOOST_TEST(!mayRepeat(*findRoute(*table, "h.example", "/c/")));
    BOOST_TEST(mayRepeat(*findRoute(*table, "h.example", "/a/")));
    BOOST_TEST(table->routes[1].services.size() == 2u);
    BOOST_TEST(findAccount(*table, "k2")->name == "acme");
    BOOST_TEST((findAccount(*table, "k3") == nullptr));
    BOOST_TEST((findAccount(*table, "") == nullptr));
    const auto* service = findService(*table, "s");
    BOOST_TEST(service->engine->slots == 16u);
    BOOST_TEST(service->models[0].layerCount == 16u);
    BOOST_TEST((service->models[0].warmUpTime == Milliseconds(300)));
    BOOST_TEST(findService(*table, "o")->origin->port == 8006);
    BOOST_TEST((table->limits.idleTimeout == Milliseconds(15'000)));
}

// A misspelt kind or number of a route used to change how its requests are handled without any trace.
BOOST_AUTO_TEST_CASE(unknownKindsAndMissingNumbersOfRoutesAreListed)
{
    auto parseFaults = [](const std::string& fields) {
        auto table = platformAdapter().store.parseRouteTable(R"({"version":1,"routes":[{"name":"r","prefix":"/a/","service":"s",)" + fields + "}]}");
        BOOST_REQUIRE(table.ok());
        return table->faults;
    };
    const std::string numbers = R"("timeout-ms":600,"target-latency-ms":100,"priority":0)";
    for (const char* kind : { "idempotent", "non_idempotent", "streaming" })
        BOOST_TEST(parseFaults(R"("kind":")" + std::string(kind) + "\"," + numbers).empty());
    auto unknownKind = parseFaults(R"("kind":"idempotentt",)" + numbers);
    BOOST_REQUIRE(unknownKind.size() == 1u);
    BOOST_TEST(unknownKind[0] == R"(route r: unknown kind "idempotentt" is taken as non_idempotent)");
    auto wrongNumber = parseFaults(R"("kind":"idempotent","timeout-ms":"600","target-latency-ms":100,"priority":0)");
    BOOST_REQUIRE(wrongNumber.size() == 1u);
    BOOST_TEST(wrongNumber[0] == R"(route r: "timeout-ms" is missing or not a number and is taken as 0)");
    BOOST_TEST(parseFaults(R"("kind":"idempotent")").size() == 3u);
}

BOOST_AUTO_TEST_CASE(endpointRecordIsParsed)
{
    auto record = platformAdapter().store.parseEndpoint("i-1", R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":16,"state":"ready","cold-remaining-ms":1500,"models":[{"name":"m","version":2,"adapters":[]}],"layers":[{"from":0,"target":9,"version":2},{"from":9,"target":16,"version":2}],"seq-no":4})");
    BOOST_REQUIRE(record.ok());
    BOOST_TEST(record->address.port == 8080);
    BOOST_TEST((record->remainingColdTime == Milliseconds(1500)));
    BOOST_TEST(servedVersion(*record, "m", 16) == 2u);
    BOOST_TEST(servedVersion(*record, "m", 17) == 0u);
    BOOST_TEST(servedVersion(*record, "other", 16) == 0u);
}

BOOST_AUTO_TEST_CASE(storeAnswersAreParsed)
{
    const auto& store = platformAdapter().store;
    auto changes = store.parseChanges(R"({"events":[{"key":"servers/a","value":"e30=","revision":412},{"key":"servers/b","revision":413,"removed":true}],"as-of":413})");
    BOOST_REQUIRE(changes.ok());
    BOOST_TEST(changes->revision == 413u);
    BOOST_TEST(changes->changes[0].value == "{}");
    BOOST_TEST(changes->changes[1].isRemoved);
    auto page = store.parsePage(R"({"items":[{"key":"op/config","value":"e30=","revision":1}],"more-pages":true,"as-of":5})");
    BOOST_REQUIRE(page.ok());
    BOOST_TEST(page->hasMore);
    for (const char* body : { "", "{}", "[]", R"({"as-of":"5"})" })
        BOOST_TEST(!store.parsePage(body).ok());
    BOOST_TEST(store.listPath("servers/", "a b&c", true) == "/bilberrybarrow/kv-range?prefix=servers/&start-after=a%20b%26c&allow-stale=1");
}

BOOST_AUTO_TEST_CASE(anItemThatCantBeReadCostsItselfOnly)
{
    const auto& store = platformAdapter().store;
    struct Row {
        const char* item;
        const char* lastKey;
    };
    const std::vector<Row> rows {
        { R"({"value":"e30="})", "a" },
        { R"({"key":7,"value":"e30="})", "a" },
        { R"({"key":"k","value":"***"})", "k" },
        { "5", "a" },
    };
    for (const auto& row : rows) {
        BOOST_TEST_CONTEXT(row.item)
        {
            auto page = store.parsePage(std::string(R"({"items":[{"key":"a","value":"e30="},)") + row.item + R"(],"more-pages":true,"as-of":5})");
            BOOST_REQUIRE(page.ok());
            BOOST_TEST(page->items.size() == 1u);
            BOOST_TEST(page->faults.size() == 1u);
            BOOST_TEST(page->lastKey == row.lastKey);
            auto changes = store.parseChanges(std::string(R"({"events":[)") + row.item + R"(,{"key":"a","value":"e30="}],"as-of":5})");
            BOOST_REQUIRE(changes.ok());
            BOOST_TEST(changes->changes.size() == 1u);
            BOOST_TEST(changes->faults.size() == 1u);
        }
    }
}

BOOST_AUTO_TEST_CASE(numbersOutOfRangeAreLimitedOrRefused)
{
    const auto& store = platformAdapter().store;
    auto parse = [&](const std::string& fields) { return store.parseEndpoint("e", R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready",)" + fields + "}"); };
    for (const char* slots : { "18446744073709551615", "4294967296", "1e300", "-1", "1.5", "null" })
        BOOST_TEST(!parse(std::string(R"("slots":)") + slots).ok());
    for (const char* time : { "1e300", "-1e300", "18446744073709551615", "1e19" }) {
        auto record = parse(std::string(R"("slots":4,"cold-remaining-ms":)") + time + R"(,"born":)" + time);
        BOOST_REQUIRE(record.ok());
        BOOST_TEST((std::chrono::abs(record->remainingColdTime) <= std::chrono::hours(24 * 365 * 10)));
        BOOST_TEST((record->startedAt == WallTime()));
    }
    auto layers = parse(R"("slots":4,"models":[{"name":"m","version":18446744073709551615}],"layers":[{"from":0,"target":4,"version":4294967297}])");
    BOOST_REQUIRE(layers.ok());
    BOOST_TEST(layers->models.empty());
    BOOST_TEST(layers->loadedLayers == 0u);
}

BOOST_AUTO_TEST_CASE(deeplyNestedDocumentsAreRefused)
{
    constexpr size_t depth = 200'000;
    const auto& store = platformAdapter().store;
    std::string nested = std::string(depth, '[') + std::string(depth, ']');
    for (const char* field : { "models", "layers", "unknown" }) {
        auto record = store.parseEndpoint("e", std::string(R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready",")") + field + "\":" + nested + "}");
        BOOST_TEST(!record.ok());
    }
    BOOST_TEST(!platformAdapter().engine.parseReport(R"({"models":)" + nested + "}").ok());
    // Brackets in a string are no nesting.
    auto text = store.parseEndpoint("e", R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","text":"\\\")" + std::string(200, '[') + "\"}");
    BOOST_TEST(text.ok());
}

// Parsers answer malformed text with an error status; no text makes them throw or crash.
BOOST_AUTO_TEST_CASE(arbitraryTextIsParsedOrRefused)
{
    const auto& store = platformAdapter().store;
    const auto& engine = platformAdapter().engine;
    BOOST_TEST(rc::check([&] {
        auto word = rc::gen::element<std::string>("{", "}", "[", "]", "\"", ":", ",", "version", "routes", "prefix", "/", "1", "-1", "null", "true", "models", "layers", "\\u0000");
        std::string text;
        for (const auto& part : *rc::gen::container<std::vector<std::string>>(word))
            text += part;
        store.parsePage(text).ok();
        store.parseChanges(text).ok();
        store.parseItem(text).ok();
        store.parseRouteTable(text).ok();
        store.parseEndpoint("e", text).ok();
        store.parseWeightVersion(text).ok();
        engine.parseReport(text).ok();
        engine.parseManifest(text).ok();
    }));
}

BOOST_AUTO_TEST_CASE(manifestsWithInvalidDigestsAreRefused)
{
    const auto& engine = platformAdapter().engine;
    std::string digest(64, 'A');
    auto good = engine.parseManifest(R"({"model":"m","version":2,"chunk-bytes":32768,"layers":16,"digests":[")" + digest + R"("]})");
    BOOST_REQUIRE(good.ok());
    BOOST_TEST(good->digests[0] == std::string(64, 'a'));
    BOOST_TEST(!engine.parseManifest(R"({"model":"m","version":2,"digests":["abc"]})").ok());
    BOOST_TEST(!engine.parseManifest(R"({"model":"m","version":0,"digests":[")" + digest + R"("]})").ok());
    BOOST_TEST(!engine.parseManifest(R"({"model":"m","version":2,"digests":[]})").ok());
}

// The era of the store's answers is a number; an answer without one states none, and other text is a fault.
BOOST_AUTO_TEST_CASE(erasOfTheStoreAreNumbers)
{
    const auto& store = platformAdapter().store;
    BOOST_TEST(*store.parseEra({ { "Store-Era", "7" } }) == 7u);
    BOOST_TEST(*store.parseEra({}) == 0u);
    for (const char* text : { "x", "-1", "1.5", "99999999999999999999999" })
        BOOST_TEST(!store.parseEra({ { "Store-Era", text } }).ok());
}
