#include "InventoryParser.h"

#include "Address.h"
#include "DocumentFields.h"
#include "DocumentReader.h"
#include "Inventory.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <array>
#include <set>

namespace bilberry {

// Paths that the system's own processes answer; no service may use them as a prefix.
static constexpr std::array<std::string_view, 7> reservedPaths { "/v1", "/healthz", "/readyz", "/metrics", "/rpc", "/forward", "/weights" };

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

void parseInventory(DocumentReader& reader, Inventory& tables)
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

} // namespace bilberry
