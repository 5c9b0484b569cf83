#include "Configuration.h"

#include "Address.h"
#include "Calendar.h"
#include "Digest.h"
#include "DocumentReader.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <set>

namespace bilberry {

using nlohmann::json;

// Length limit of a row's name, in characters.
static constexpr size_t maxNameLength = 128;
// Paths that the system's own processes answer; no service may use them as a prefix.
static constexpr std::array<std::string_view, 7> reservedPaths { "/v1", "/healthz", "/readyz", "/metrics", "/rpc", "/forward", "/weights" };

// The configuration being built and the faults found so far.
struct ParseState {
    Configuration configuration;
    std::vector<std::string> faults;
};

// Names appear in headers, paths and metrics, so only characters without a special meaning there are allowed.
static void checkName(DocumentReader& reader, const char* field, std::string_view name)
{
    auto isAllowed = [](char character) { return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' || character == '.'; };
    if (name.size() > maxNameLength || !std::all_of(name.begin(), name.end(), isAllowed))
        reader.addFault(field, "must have at most 128 letters, digits, \"-\", \"_\" and \".\"");
}

static void readName(DocumentReader& reader, std::set<std::string>& seen, std::string& name)
{
    reader.read("name", name, true);
    checkName(reader, "name", name);
    if (!name.empty() && !seen.insert(name).second)
        reader.addFault("name", "is used twice");
}

// Reads a field that names a row of another table, and stores the row's index.
template <typename Row>
static void readReference(DocumentReader& reader, const char* field, const std::vector<Row>& rows, RowIndex& target, bool required = true)
{
    std::string name;
    reader.read(field, name, required);
    if (name.empty())
        return;
    target = findRow(rows, name);
    if (target == noRow)
        reader.addFault(field, "names nothing that the inventory has");
}

static void readAddress(DocumentReader& reader, const char* field, std::string& target)
{
    reader.read(field, target, true);
    if (target.empty())
        return;
    auto address = parseAddress(target);
    if (!address.ok())
        reader.addFault(field, "must be IP:port");
}

static void parseDataCentres(DocumentReader& inventory, Inventory& tables)
{
    std::set<std::string> seen;
    for (auto& reader : inventory.readArray("data_centres", true)) {
        DataCentre row;
        readName(reader, seen, row.name);
        reader.read("region", row.region, true);
        reader.reportUnknownFields();
        tables.dataCentres.push_back(row);
    }
}

// Returns whether the path equals the prefix or lies below it.
static bool isPathWithin(std::string_view path, std::string_view prefix)
{
    return path.substr(0, prefix.size()) == prefix && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

static void checkPathPrefix(DocumentReader& reader, std::set<std::string>& seen, const std::string& prefix)
{
    if (prefix.empty())
        return;
    if (prefix.front() != '/')
        reader.addFault("path_prefix", "must start with \"/\"");
    if (prefix.back() == '/')
        reader.addFault("path_prefix", "must not end with \"/\"");
    auto isReserved = [&](std::string_view reserved) { return isPathWithin(prefix, reserved); };
    if (std::any_of(reservedPaths.begin(), reservedPaths.end(), isReserved))
        reader.addFault("path_prefix", "is a path of the system's own");
    if (!seen.insert(prefix).second)
        reader.addFault("path_prefix", "is used twice");
}

static void parseServices(DocumentReader& inventory, Inventory& tables)
{
    std::set<std::string> seen;
    std::set<std::string> prefixes;
    for (auto& reader : inventory.readArray("services", true)) {
        Service row;
        readName(reader, seen, row.name);
        std::string kind;
        reader.read("kind", kind, true);
        if (kind == "plain")
            row.kind = ServiceKind::Plain;
        else if (kind != "model" && !kind.empty())
            reader.addFault("kind", "must be \"model\" or \"plain\"");
        bool isPlain = row.kind == ServiceKind::Plain;
        reader.read("path_prefix", row.pathPrefix, isPlain);
        checkPathPrefix(reader, prefixes, row.pathPrefix);
        reader.reportUnknownFields();
        tables.services.push_back(row);
    }
}

static void parseModels(DocumentReader& inventory, Inventory& tables)
{
    std::set<std::string> seen;
    for (auto& reader : inventory.readArray("models", true)) {
        Model row;
        readName(reader, seen, row.name);
        reader.read("label", row.versionTag, true);
        checkName(reader, "label", row.versionTag);
        readReference(reader, "service", tables.services, row.service);
        reader.read("size_bytes", row.sizeBytes, 1, uint64_t(1) << 50, true);
        if (row.service != noRow && tables.services[row.service].kind != ServiceKind::Model)
            reader.addFault("service", "is a plain service; a model needs one of kind \"model\"");
        reader.reportUnknownFields();
        tables.models.push_back(row);
    }
}

static void parseRole(DocumentReader& reader, Vm& row)
{
    std::string role = "endpoint";
    reader.read("role", role, false);
    if (role == "entry")
        row.role = Role::Entry;
    else if (role != "endpoint")
        reader.addFault("role", "must be \"entry\" or \"endpoint\"");
}

static void parseVms(DocumentReader& inventory, Inventory& tables)
{
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (auto& reader : inventory.readArray("vms", true)) {
        Vm row;
        readName(reader, names, row.name);
        parseRole(reader, row);
        readReference(reader, "data_centre", tables.dataCentres, row.dataCentre);
        readAddress(reader, "address", row.address);
        if (!row.address.empty() && !addresses.insert(row.address).second)
            reader.addFault("address", "is used twice");
        if (row.role == Role::Endpoint) {
            readReference(reader, "service", tables.services, row.service);
            readAddress(reader, "back_end", row.backEndAddress);
            if (!row.backEndAddress.empty() && row.backEndAddress == row.address)
                reader.addFault("back_end", "is the address of the system's own process");
            reader.read("weight_memory_bytes", row.weightMemoryBytes, 0, uint64_t(1) << 50, false);
            reader.read("checks_fencing", row.checksFencing);
            reader.read("max_concurrency", row.maxConcurrency, 1, 100'000, false);
            reader.read("cold_concurrency", row.coldStartConcurrency, 1, 100'000, false);
            if (row.coldStartConcurrency > row.maxConcurrency)
                reader.addFault("cold_concurrency", "must not be above max_concurrency");
        }
        reader.reportUnknownFields();
        tables.vms.push_back(row);
    }
}

static void checkKeyDigest(DocumentReader& reader, std::set<std::string>& seen, const std::string& digest)
{
    auto isHexDigit = [](char character) { return absl::ascii_isdigit(static_cast<unsigned char>(character)) || (character >= 'a' && character <= 'f'); };
    if (digest.empty())
        return;
    if (digest.size() != 64 || !std::all_of(digest.begin(), digest.end(), isHexDigit))
        reader.addFault("key_sha256", "must be 64 hex digits, in lower case");
    if (!seen.insert(digest).second)
        reader.addFault("key_sha256", "is also the key digest of another client account");
}

static void parseCallers(DocumentReader& inventory, Inventory& tables)
{
    std::set<std::string> seen;
    std::set<std::string> keys;
    for (auto& reader : inventory.readArray("callers", true)) {
        Caller row;
        readName(reader, seen, row.name);
        reader.read("share", row.fairShareWeight, 1, 1'000'000, false);
        reader.read("key_sha256", row.keySha256, false);
        checkKeyDigest(reader, keys, row.keySha256);
        reader.reportUnknownFields();
        tables.callers.push_back(row);
    }
}

static void parseInventory(DocumentReader& reader, Inventory& tables)
{
    // Tables that other tables refer to are parsed first.
    parseDataCentres(reader, tables);
    parseServices(reader, tables);
    parseModels(reader, tables);
    parseVms(reader, tables);
    parseCallers(reader, tables);
    auto store = reader.readObject("weight_store");
    readAddress(store, "address", tables.weightStoreAddress);
    store.read("region", tables.weightStoreRegion, true);
    store.reportUnknownFields();
    reader.reportUnknownFields();
}

static void parsePlacements(DocumentReader& rules, const Inventory& inventory, Rules& tables)
{
    for (auto& reader : rules.readArray("placements", false)) {
        PlacementRule row;
        readReference(reader, "model", inventory.models, row.model);
        reader.read("replicas", row.replicas, 1, 100'000, true);
        reader.read("survive_data_centre_loss", row.shouldSurviveDataCentreLoss);
        for (const auto& earlier : tables.placements) {
            if (earlier.model == row.model && row.model != noRow)
                reader.addFault("model", "has a placement already");
        }
        reader.reportUnknownFields();
        tables.placements.push_back(row);
    }
}

static void parseBursts(DocumentReader& rules, const Inventory& inventory, Rules& tables)
{
    std::set<std::string> seen;
    for (auto& reader : rules.readArray("bursts", false)) {
        BurstRule row;
        readName(reader, seen, row.name);
        readReference(reader, "model", inventory.models, row.model);
        reader.read("calendar", row.calendar, true);
        if (!row.calendar.empty() && !isSupportedCalendar(row.calendar))
            reader.addFault("calendar", "must be islamic-umalqura, islamic-civil, chinese, hebrew, persian or gregorian");
        reader.read("month", row.month, 1, 13, true);
        reader.read("day", row.day, 1, 31, true);
        if (reader.hasField("year")) {
            int year = 0;
            reader.read("year", year, 1, 9999, false);
            row.year = year;
        }
        reader.read("duration_days", row.durationDays, 1, 60, false);
        reader.read("lead_days", row.leadDays, 0, 60, false);
        reader.read("replicas", row.replicas, 1, 100'000, true);
        reader.reportUnknownFields();
        tables.bursts.push_back(row);
    }
}

// Rejects rules that can match no request, because such a rule would let calls run twice without anyone noticing.
static void checkUnrepeatable(DocumentReader& reader, const Inventory& inventory, const UnrepeatableRule& row)
{
    bool isUpper = std::all_of(row.method.begin(), row.method.end(), [](char character) { return absl::ascii_isupper(static_cast<unsigned char>(character)); });
    if (!isUpper)
        reader.addFault("method", "must be an HTTP method in capitals");
    if (row.service == noRow || row.pathPrefix.empty())
        return;
    const Service& service = inventory.services[row.service];
    std::string_view base = service.kind == ServiceKind::Model ? std::string_view("/v1") : std::string_view(service.pathPrefix);
    bool isWider = base.substr(0, row.pathPrefix.size()) == row.pathPrefix;
    if (!isWider && !isPathWithin(row.pathPrefix, base))
        reader.addFault("path_prefix", "matches no request of the service, whose paths start with \"" + std::string(base) + "\"");
}

static void parseUnrepeatable(DocumentReader& rules, const Inventory& inventory, Rules& tables)
{
    for (auto& reader : rules.readArray("unrepeatable", false)) {
        UnrepeatableRule row;
        readReference(reader, "service", inventory.services, row.service);
        reader.read("method", row.method, true);
        reader.read("path_prefix", row.pathPrefix, true);
        checkUnrepeatable(reader, inventory, row);
        reader.reportUnknownFields();
        tables.unrepeatableRules.push_back(row);
    }
}

static void readMilliseconds(DocumentReader& reader, const char* field, Milliseconds& target)
{
    // No time in the rules may exceed one hour.
    uint32_t count = static_cast<uint32_t>(target.count());
    reader.read(field, count, 1, 3'600'000, false);
    target = Milliseconds(count);
}

static void readPriority(DocumentReader& reader, Priority& target)
{
    std::string name = "normal";
    reader.read("priority", name, false);
    if (name == "interactive")
        target = Priority::Interactive;
    else if (name == "batch")
        target = Priority::Batch;
    else if (name != "normal")
        reader.addFault("priority", "must be \"interactive\", \"normal\" or \"batch\"");
}

static void parseServiceRules(DocumentReader& rules, const Inventory& inventory, Rules& tables)
{
    for (RowIndex service = 0; service < inventory.services.size(); ++service) {
        tables.services.emplace_back();
        tables.services.back().service = service;
    }
    std::set<RowIndex> seen;
    for (auto& reader : rules.readArray("services", false)) {
        ServiceLevelRule row;
        readReference(reader, "service", inventory.services, row.service);
        if (row.service != noRow && !seen.insert(row.service).second)
            reader.addFault("service", "has rules already");
        readPriority(reader, row.priority);
        readMilliseconds(reader, "default_timeout_ms", row.defaultTimeout);
        readMilliseconds(reader, "max_timeout_ms", row.maxTimeout);
        readMilliseconds(reader, "latency_objective_ms", row.latencyObjective);
        reader.read("retry_share", row.retryRatio, 0, 1);
        reader.read("objective", row.serviceLevelObjective, 0.5, 0.999999);
        if (row.defaultTimeout > row.maxTimeout)
            reader.addFault("default_timeout_ms", "must not be above max_timeout_ms");
        reader.reportUnknownFields();
        if (row.service != noRow)
            tables.services[row.service] = row;
    }
}

template <typename Row>
static std::vector<RowIndex> readRowReferences(DocumentReader& reader, const char* field, const std::vector<Row>& rows)
{
    std::vector<RowIndex> indices;
    for (const auto& name : reader.readStrings(field)) {
        RowIndex index = findRow(rows, name);
        if (index == noRow)
            reader.addFault(field, "names \"" + name + "\", which the inventory does not have");
        else
            indices.push_back(index);
    }
    return indices;
}

static void parseRules(DocumentReader& reader, const Inventory& inventory, Rules& tables)
{
    parsePlacements(reader, inventory, tables);
    parseBursts(reader, inventory, tables);
    parseUnrepeatable(reader, inventory, tables);
    parseServiceRules(reader, inventory, tables);
    tables.outOfServiceDataCentres = readRowReferences(reader, "data_centres_out", inventory.dataCentres);
    tables.leavingVms = readRowReferences(reader, "vms_leaving", inventory.vms);
    reader.reportUnknownFields();
}

absl::StatusOr<Configuration> parseConfiguration(std::string_view text, Generation generation)
{
    if (text.size() > maxConfigurationBytes)
        return absl::InvalidArgumentError("$: the document is larger than 1 MiB");
    auto document = parseDocument(text);
    if (!document.ok())
        return document.status();
    ParseState state;
    Configuration& configuration = state.configuration;
    configuration.generation = generation;
    DocumentReader root(*document, "$", state.faults, configuration.warnings);
    auto inventory = root.readObject("inventory");
    auto rules = root.readObject("rules");
    root.reportUnknownFields();
    if (state.faults.empty()) {
        parseInventory(inventory, configuration.inventory);
        parseRules(rules, configuration.inventory, configuration.rules);
    }
    if (!state.faults.empty())
        return absl::InvalidArgumentError(absl::StrJoin(state.faults, "\n"));
    configuration.text = std::string(text);
    configuration.digest = sha256Hex(text);
    return std::move(state.configuration);
}

bool isDataCentreOutOfService(const Configuration& configuration, RowIndex dataCentre)
{
    const auto& out = configuration.rules.outOfServiceDataCentres;
    return std::find(out.begin(), out.end(), dataCentre) != out.end();
}

bool isVmLeaving(const Configuration& configuration, RowIndex vm)
{
    const auto& leaving = configuration.rules.leavingVms;
    return std::find(leaving.begin(), leaving.end(), vm) != leaving.end();
}

static RowIndex findModelService(const Inventory& inventory, std::string_view modelName)
{
    RowIndex model = findRow(inventory.models, modelName);
    return model == noRow ? noRow : inventory.models[model].service;
}

RowIndex findService(const Inventory& inventory, std::string_view path, std::string_view modelName)
{
    if (path.substr(0, 4) == "/v1/")
        return findModelService(inventory, modelName);
    RowIndex longestMatch = noRow;
    size_t longestLength = 0;
    for (RowIndex index = 0; index < inventory.services.size(); ++index) {
        const std::string& prefix = inventory.services[index].pathPrefix;
        bool isPrefix = !prefix.empty() && path.substr(0, prefix.size()) == prefix;
        bool endsAtSegment = path.size() == prefix.size() || (path.size() > prefix.size() && path[prefix.size()] == '/');
        if (isPrefix && endsAtSegment && prefix.size() > longestLength) {
            longestMatch = index;
            longestLength = prefix.size();
        }
    }
    return longestMatch;
}

bool isUnrepeatable(const Rules& rules, RowIndex service, std::string_view method, std::string_view path)
{
    for (const auto& rule : rules.unrepeatableRules) {
        bool isSameCall = rule.service == service && rule.method == method;
        if (isSameCall && path.substr(0, rule.pathPrefix.size()) == rule.pathPrefix)
            return true;
    }
    return false;
}

} // namespace bilberry
