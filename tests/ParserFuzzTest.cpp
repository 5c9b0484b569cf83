#define BOOST_TEST_MODULE ParserFuzz
#include "ConfigurationReview.h"
#include "DocumentFiles.h"
#include "ExchangeMessage.h"
#include "Flags.h"
#include "Manifest.h"
#include "Settings.h"

#include <absl/strings/str_split.h>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/boost_test.h>

using namespace bilberry;
using nlohmann::json;

static std::string exampleConfiguration()
{
    std::string folder = std::string(BILBERRY_SOURCE_DIR) + "/examples/registry/";
    return joinDocumentFiles({ folder + "inventory.json", folder + "rules.json" }).value();
}

static std::string exampleExchange()
{
    ExchangeMessage message;
    message.vm = "a";
    message.coveredVmsHash = UINT64_MAX;
    message.digest = packDigest({ {} });
    VmStatus status;
    status.vm = "b";
    status.servedModels = { { "m", "d" } };
    status.holdings = { { "d", { true, false, true, true, true } } };
    message.rows = { { status, Milliseconds(5) } };
    return toText(message);
}

// Returns the text with a few ranges removed or replaced by values that parsers often mishandle, and sometimes truncated.
static std::string mutateText(std::string text)
{
    static const std::vector<std::string> pieces { "", "-1", "1e999", "null", "{}", "[]", "\"\"", "18446744073709551616", "\\u0000", "\xff", std::string(3000, '['), std::string(3000, 'x') };
    int changes = *rc::gen::inRange(0, 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        auto at = *rc::gen::inRange<size_t>(0, text.size());
        auto length = *rc::gen::inRange<size_t>(0, std::min<size_t>(text.size() - at, 12) + 1);
        text.replace(at, length, *rc::gen::elementOf(pieces));
    }
    if (*rc::gen::inRange(0, 5) == 0)
        text.resize(*rc::gen::inRange<size_t>(0, text.size() + 1));
    return text;
}

// Checks that a parsed configuration holds only valid references, or that each line of the error starts with a path.
static void checkParseResult(const std::string& text)
{
    auto parsed = parseConfiguration(text, 1);
    if (!parsed.ok()) {
        for (const std::string& line : std::vector<std::string>(absl::StrSplit(std::string(parsed.status().message()), '\n')))
            RC_ASSERT(line.rfind('$', 0) == 0 && line.find(": ") != std::string::npos);
        return;
    }
    for (const auto& vm : parsed->inventory.vms)
        RC_ASSERT(vm.dataCentre < parsed->inventory.dataCentres.size() && (vm.role == Role::Entry || vm.service < parsed->inventory.services.size()));
    RC_ASSERT(parsed->rules.services.size() == parsed->inventory.services.size());
    reviewConfiguration(*parsed, WallTime());
}

RC_BOOST_PROP(aConfigurationWithChangedValuesParsesOrGivesCleanErrors, ())
{
    static const std::vector<json> values { nullptr, true, -1, 0, 1e300, UINT64_MAX, "", "x", "\xff\xfe", json::array(), json::object(), json::array({ 1, "a", nullptr }) };
    json document = json::parse(exampleConfiguration());
    auto changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i) {
        // Descends to a random place in the document, then changes or removes it.
        json* place = &document;
        while (!place->empty() && place->is_structured() && (place == &document || *rc::gen::inRange(0, 4) != 0))
            place = &*std::next(place->begin(), *rc::gen::inRange<int>(0, static_cast<int>(place->size())));
        if (place->is_object() && !place->empty() && *rc::gen::inRange(0, 3) == 0)
            place->erase(place->begin());
        else
            *place = *rc::gen::elementOf(values);
    }
    checkParseResult(document.dump(-1, ' ', false, json::error_handler_t::replace));
}

RC_BOOST_PROP(aConfigurationWithChangedBytesParsesOrGivesCleanErrors, (uint32_t place, uint8_t byte, uint8_t cut))
{
    static const std::string text = json::parse(exampleConfiguration()).dump();
    std::string changed = text;
    changed[place % changed.size()] = static_cast<char>(byte);
    if (cut < 32)
        changed.resize(place % changed.size());
    checkParseResult(changed);
    checkParseResult(mutateText(exampleConfiguration()));
}

RC_BOOST_PROP(noLiveListTextBreaksTheParser, ())
{
    auto text = mutateText(R"({"vms":[{"vm":"a","state":"live"},{"vm":"b","state":"leaving"}]})");
    auto parsed = parseLiveList(text, 1);
    if (parsed.ok())
        RC_ASSERT(parsed->vms.size() <= text.size());
}

RC_BOOST_PROP(noManifestTextBreaksTheParser, ())
{
    std::string digest = "sha256:" + std::string(64, 'a');
    auto text = mutateText(R"({"schemaVersion":2,"layers":[{"digest":")" + digest + R"(","size":9},{"digest":")" + digest + R"(","size":7}]})");
    auto parsed = parseManifest(text);
    if (parsed.ok())
        RC_ASSERT(!parsed->chunks.empty() && parsed->text == text);
}

RC_BOOST_PROP(noExchangeTextBreaksTheParser, ())
{
    static const std::string example = exampleExchange();
    auto message = parseExchange(mutateText(example));
    if (!message)
        return;
    RC_ASSERT(message->rows.size() <= maxRowsPerMessage);
    for (const auto& row : message->rows) {
        RC_ASSERT(row.age >= Milliseconds(0));
        RC_ASSERT(!row.status.vm.empty());
    }
    RC_ASSERT(parseExchange(toText(*message)).has_value());
    parseAnnouncement(mutateText(R"({"vm":"a","kind":1,"generation":5,"digest":"x"})"));
    unpackDigest(message->digest, 1);
}

BOOST_AUTO_TEST_CASE(messagesOutOfBoundsAreRefused)
{
    auto whole = json::parse(exampleExchange());
    BOOST_REQUIRE(parseExchange(whole.dump()));
    struct Row {
        const char* pointer;
        json value;
    };
    const Row rows[] = { { "/rows/0/age_ms", -1 }, { "/rows/0/age_ms", int64_t(1) << 60 }, { "/rows/0/age_ms", "1" },
        { "/rows/0/status/vm", "" }, { "/rows/0/status/vm", std::string(300, 'x') }, { "/rows/0/status/incarnation", UINT64_MAX },
        { "/rows/0/status/sequence", UINT64_MAX }, { "/rows/0/status/holdings/0/count", 1 << 30 }, { "/rows", json::object() },
        { "/documents/0/generation", UINT64_MAX }, { "/documents", json::array() }, { "/members", "x" }, { "/members", 5 },
        { "/vm", std::string(300, 'x') } };
    for (const auto& row : rows) {
        auto changed = whole;
        changed[json::json_pointer(row.pointer)] = row.value;
        BOOST_TEST(!parseExchange(changed.dump()), row.pointer << " " << row.value.dump().substr(0, 20));
    }
    auto many = whole;
    for (size_t i = 0; i < maxRowsPerMessage; ++i)
        many["rows"].push_back(whole["rows"][0]);
    BOOST_TEST(!parseExchange(many.dump()));
    BOOST_TEST(!parseExchange(std::string(maxExchangeBytes + 1, ' ')));
}

RC_BOOST_PROP(noCommandLineBreaksTheReader, (const std::vector<std::string>& words))
{
    std::vector<std::string> kept { "bilberryd" };
    for (const auto& word : words)
        kept.push_back(*rc::gen::element<std::string>("", "--", "--vm=", "--tick_ms=", "--no", "--nohelp", "--role") + word);
    std::vector<char*> arguments;
    arguments.reserve(kept.size());
    for (auto& word : kept)
        arguments.push_back(word.data());
    auto line = readCommandLine(static_cast<int>(arguments.size()), arguments.data());
    auto settings = makeSettings(line.faults);
    RC_ASSERT(line.faults.empty() || !settings.ok());
}
