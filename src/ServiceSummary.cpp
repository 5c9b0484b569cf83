#include "ServiceSummary.h"

#include "ClusterView.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// First element of each brief; changes with its layout.
static constexpr uint32_t layoutVersion = 201;
// Elements of a brief, and of its parts.
static constexpr size_t summarySize = 10;
static constexpr size_t modelSize = 5;
static constexpr size_t engineSize = 3;

static const ServiceRule* findOrigin(const RouteTable& routes)
{
    auto found = std::find_if(routes.services.begin(), routes.services.end(), [](const ServiceRule& service) { return service.origin.has_value(); });
    return found == routes.services.end() ? nullptr : &*found;
}

static std::vector<ServiceEngine> listEngines(const EndpointTable& table, const std::string& service, const ServedModel& model)
{
    std::vector<ServiceEngine> engines;
    for (const auto& row : table.rows) {
        if (row.isListed && row.record.service == service)
            engines.push_back({ row.record.address.host, row.record.dataCentre, servedVersion(row.record, model.name, model.layerCount) });
    }
    // A VM whose engine has started anew may be listed twice; what the newer one serves isn't known to be all there.
    std::sort(engines.begin(), engines.end(), [](const ServiceEngine& first, const ServiceEngine& second) { return std::tie(first.host, first.version) < std::tie(second.host, second.version); });
    auto isSame = [](const ServiceEngine& first, const ServiceEngine& second) { return first.host == second.host; };
    engines.erase(std::unique(engines.begin(), engines.end(), isSame), engines.end());
    return engines;
}

std::optional<ServiceSummary> summarizeService(const ClusterView& belief, const std::string& service, TimePoint now)
{
    const auto* rule = belief.routes ? findService(*belief.routes, service) : nullptr;
    if (!rule || rule->models.empty())
        return std::nullopt;
    ServiceSummary brief;
    brief.model = rule->models.front();
    if (const auto* origin = findOrigin(*belief.routes)) {
        brief.origin = origin->origin;
        brief.originDataCentre = origin->originDataCentre;
    }
    auto named = belief.namedVersions.find(brief.model.name);
    if (named != belief.namedVersions.end()) {
        for (const auto& [version, learnedAt] : named->second)
            brief.namedVersions.push_back({ version, std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - learnedAt)) });
    }
    brief.engines = listEngines(belief.endpoints, service, brief.model);
    return brief;
}

uint32_t newestNamedVersion(const ServiceSummary& brief)
{
    return brief.namedVersions.empty() ? 0 : brief.namedVersions.back().version;
}

std::string encodeServiceSummary(const ServiceSummary& brief)
{
    json model = json::array({ brief.model.name, brief.model.layerCount, brief.model.chunkCount, brief.model.chunkBytes, static_cast<uint64_t>(brief.model.warmUpTime.count()) });
    json named = json::array();
    for (const auto& version : brief.namedVersions) {
        named.push_back(version.version);
        named.push_back(static_cast<uint64_t>(version.namedFor.count()));
    }
    json engines = json::array();
    for (const auto& engine : brief.engines)
        engines.push_back(json::array({ engine.host, engine.dataCentre, engine.version }));
    json whole = json::array({ layoutVersion, static_cast<uint64_t>(brief.age.count()), brief.dataCentre, brief.entries, model, brief.origin ? brief.origin->host : std::string(), brief.origin ? brief.origin->port : 0, brief.originDataCentre, named, engines });
    auto bytes = json::to_msgpack(whole);
    return std::string(bytes.begin(), bytes.end());
}

static bool areStrings(const json& list)
{
    return list.is_array() && std::all_of(list.begin(), list.end(), [](const json& entry) { return entry.is_string(); });
}

static bool isModel(const json& row)
{
    return row.is_array() && row.size() == modelSize && row[0].is_string() && std::all_of(row.begin() + 1, row.end(), [](const json& entry) { return entry.is_number_unsigned(); });
}

static bool areVersions(const json& list)
{
    return list.is_array() && list.size() % 2 == 0 && std::all_of(list.begin(), list.end(), [](const json& entry) { return entry.is_number_unsigned(); });
}

static bool areEngines(const json& list)
{
    auto isEngine = [](const json& row) { return row.is_array() && row.size() == engineSize && row[0].is_string() && row[1].is_string() && row[2].is_number_unsigned(); };
    return list.is_array() && std::all_of(list.begin(), list.end(), isEngine);
}

static bool isSummary(const json& whole)
{
    bool hasLayout = whole.is_array() && whole.size() == summarySize && whole[0].is_number_unsigned() && whole[0].get<uint32_t>() == layoutVersion;
    return hasLayout && whole[1].is_number_unsigned() && whole[2].is_string() && areStrings(whole[3]) && isModel(whole[4]) && whole[5].is_string() && whole[6].is_number_unsigned()
        && whole[7].is_string() && areVersions(whole[8]) && areEngines(whole[9]);
}

absl::StatusOr<ServiceSummary> decodeServiceSummary(const std::string& bytes)
{
    auto whole = json::from_msgpack(bytes, true, false);
    if (!isSummary(whole))
        return absl::InvalidArgumentError("not a brief of this layout");
    ServiceSummary brief;
    brief.age = Milliseconds(whole[1].get<int64_t>());
    brief.dataCentre = whole[2].get<std::string>();
    brief.entries = whole[3].get<std::vector<std::string>>();
    const auto& model = whole[4];
    brief.model = { model[0].get<std::string>(), model[1].get<uint32_t>(), model[2].get<uint32_t>(), model[3].get<size_t>(), Milliseconds(model[4].get<int64_t>()) };
    if (!whole[5].get_ref<const std::string&>().empty())
        brief.origin = Address { whole[5].get<std::string>(), whole[6].get<int>() };
    brief.originDataCentre = whole[7].get<std::string>();
    for (size_t i = 0; i + 1 < whole[8].size(); i += 2)
        brief.namedVersions.push_back({ whole[8][i].get<uint32_t>(), Milliseconds(whole[8][i + 1].get<int64_t>()) });
    for (const auto& row : whole[9])
        brief.engines.push_back({ row[0].get<std::string>(), row[1].get<std::string>(), row[2].get<uint32_t>() });
    return brief;
}

} // namespace bilberry
