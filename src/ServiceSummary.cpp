#include "ServiceSummary.h"

#include "ClusterView.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// First element of each encoded summary; changes with the layout.
static constexpr uint32_t layoutVersion = 203;
// Numbers of elements of the encoded summary, model, version and engine.
static constexpr size_t summarySize = 12;
static constexpr size_t modelSize = 5;
static constexpr size_t versionSize = 3;
static constexpr size_t engineSize = 4;

static const ServiceSettings* findOrigin(const EntryConfiguration& routes)
{
    auto found = std::find_if(routes.services.begin(), routes.services.end(), [](const ServiceSettings& service) { return service.origin.has_value(); });
    return found == routes.services.end() ? nullptr : &*found;
}

std::vector<ServiceEngine> listServiceEngines(const EndpointTable& table, const std::string& service, const ServedModel& model, bool sharesEngines)
{
    std::vector<ServiceEngine> engines;
    for (const auto& row : table.rows) {
        if (row.isListed && row.record.service == service)
            engines.push_back({ row.record.address.host, row.record.dataCentre, servedVersion(row.record, model.name, model.layerCount), sharesEngines && row.record.isDraining });
    }
    // A VM whose engine has restarted may be listed twice. The lower version is kept, since it isn't known whether the
    // restarted engine has the weights that the older record lists. One that drains is older than one that doesn't.
    std::sort(engines.begin(), engines.end(), [](const ServiceEngine& first, const ServiceEngine& second) { return std::tie(first.host, first.isLeaving, first.version) < std::tie(second.host, second.isLeaving, second.version); });
    auto isSame = [](const ServiceEngine& first, const ServiceEngine& second) { return first.host == second.host; };
    engines.erase(std::unique(engines.begin(), engines.end(), isSame), engines.end());
    return engines;
}

std::optional<ServiceSummary> summarizeService(const ClusterView& view, const std::string& service, BootTimePoint now)
{
    const auto* rule = view.routes ? findService(*view.routes, service) : nullptr;
    if (!rule || rule->models.empty())
        return std::nullopt;
    ServiceSummary summary;
    summary.model = rule->models.front();
    if (const auto* origin = findOrigin(*view.routes)) {
        summary.origin = origin->origin;
        summary.originDataCentre = origin->originDataCentre;
    }
    auto found = view.namedVersions.find(summary.model.name);
    if (found != view.namedVersions.end()) {
        for (const auto& [version, namedAt] : found->second)
            summary.namedVersions.push_back({ version, std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(now - namedAt)), view.assumedNamings.count({ summary.model.name, version }) != 0 });
    }
    summary.sharesEngines = sharesEngines(*rule, view.endpoints);
    summary.engines = listServiceEngines(view.endpoints, service, summary.model, summary.sharesEngines);
    return summary;
}

uint32_t newestNamedVersion(const ServiceSummary& summary)
{
    return summary.namedVersions.empty() ? 0 : summary.namedVersions.back().version;
}

std::string encodeServiceSummary(const ServiceSummary& summary)
{
    json model = json::array({ summary.model.name, summary.model.layerCount, summary.model.chunkCount, summary.model.chunkBytes, static_cast<uint64_t>(summary.model.warmUpTime.count()) });
    json versions = json::array();
    for (const auto& version : summary.namedVersions)
        versions.push_back(json::array({ version.version, static_cast<uint64_t>(version.knownFor.count()), version.isAssumed }));
    json engines = json::array();
    for (const auto& engine : summary.engines)
        engines.push_back(json::array({ engine.host, engine.dataCentre, engine.version, engine.isLeaving }));
    json root = json::array({ layoutVersion, static_cast<uint64_t>(summary.age.count()), summary.dataCentre, summary.entries, model, summary.origin ? summary.origin->host : std::string(), summary.origin ? summary.origin->port : 0, summary.originDataCentre, versions, engines, summary.sharesEngines, static_cast<uint64_t>(summary.heldFor.count()) });
    auto bytes = json::to_msgpack(root);
    return std::string(bytes.begin(), bytes.end());
}

static bool areStrings(const json& list)
{
    return list.is_array() && std::all_of(list.begin(), list.end(), [](const json& entry) { return entry.is_string(); });
}

static bool hasModelLayout(const json& row)
{
    return row.is_array() && row.size() == modelSize && row[0].is_string() && std::all_of(row.begin() + 1, row.end(), [](const json& entry) { return entry.is_number_unsigned(); });
}

static bool hasVersionsLayout(const json& list)
{
    auto isVersion = [](const json& row) { return row.is_array() && row.size() == versionSize && row[0].is_number_unsigned() && row[1].is_number_unsigned() && row[2].is_boolean(); };
    return list.is_array() && std::all_of(list.begin(), list.end(), isVersion);
}

static bool hasEnginesLayout(const json& list)
{
    auto isEngine = [](const json& row) { return row.is_array() && row.size() == engineSize && row[0].is_string() && row[1].is_string() && row[2].is_number_unsigned() && row[3].is_boolean(); };
    return list.is_array() && std::all_of(list.begin(), list.end(), isEngine);
}

static bool hasSummaryLayout(const json& root)
{
    bool hasLayout = root.is_array() && root.size() == summarySize && root[0].is_number_unsigned() && root[0].get<uint32_t>() == layoutVersion;
    return hasLayout && root[1].is_number_unsigned() && root[2].is_string() && areStrings(root[3]) && hasModelLayout(root[4]) && root[5].is_string() && root[6].is_number_unsigned()
        && root[7].is_string() && hasVersionsLayout(root[8]) && hasEnginesLayout(root[9]) && root[10].is_boolean() && root[11].is_number_unsigned();
}

absl::StatusOr<ServiceSummary> decodeServiceSummary(const std::string& bytes)
{
    auto root = json::from_msgpack(bytes, true, false);
    if (!hasSummaryLayout(root))
        return absl::InvalidArgumentError("not a service summary of the current layout");
    ServiceSummary summary;
    summary.age = Milliseconds(root[1].get<int64_t>());
    summary.dataCentre = root[2].get<std::string>();
    summary.entries = root[3].get<std::vector<std::string>>();
    const auto& model = root[4];
    summary.model = { model[0].get<std::string>(), model[1].get<uint32_t>(), model[2].get<uint32_t>(), model[3].get<size_t>(), Milliseconds(model[4].get<int64_t>()) };
    if (!root[5].get_ref<const std::string&>().empty())
        summary.origin = Address { root[5].get<std::string>(), root[6].get<int>() };
    summary.originDataCentre = root[7].get<std::string>();
    for (const auto& row : root[8])
        summary.namedVersions.push_back({ row[0].get<uint32_t>(), Milliseconds(row[1].get<int64_t>()), row[2].get<bool>() });
    for (const auto& row : root[9])
        summary.engines.push_back({ row[0].get<std::string>(), row[1].get<std::string>(), row[2].get<uint32_t>(), row[3].get<bool>() });
    summary.sharesEngines = root[10].get<bool>();
    summary.heldFor = Milliseconds(root[11].get<int64_t>());
    return summary;
}

} // namespace bilberry
