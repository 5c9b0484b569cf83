#include "EndpointEvents.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// First element of each encoded datagram; other datagrams between entries begin with other numbers.
static constexpr uint32_t eventsLayoutVersion = 102;
static constexpr size_t eventsSize = 5;
// Number of elements that encode one PartEvidence.
static constexpr size_t evidenceSize = 3;

bool isEmpty(const EndpointEvents& events)
{
    return events.partEvidence.empty() && events.leavingEndpoints.empty() && events.slowEndpoints.empty();
}

std::string encodeEndpointEvents(const EndpointEvents& events)
{
    json evidence = json::array();
    for (const auto& row : events.partEvidence) {
        evidence.push_back(row.part);
        evidence.push_back(row.crashedEndpoint);
        evidence.push_back(row.clearance);
    }
    auto bytes = json::to_msgpack(json::array({ eventsLayoutVersion, events.dataCentre, evidence, events.leavingEndpoints, events.slowEndpoints }));
    return std::string(bytes.begin(), bytes.end());
}

static bool areNumbers(const json& list)
{
    return list.is_array() && std::all_of(list.begin(), list.end(), [](const json& entry) { return entry.is_number_unsigned(); });
}

absl::StatusOr<EndpointEvents> decodeEndpointEvents(const std::string& bytes)
{
    auto root = json::from_msgpack(bytes, true, false);
    bool isOfLayout = root.is_array() && root.size() == eventsSize && root[0].is_number_unsigned() && root[0].get<uint32_t>() == eventsLayoutVersion;
    bool isTyped = isOfLayout && root[1].is_string() && areNumbers(root[2]) && root[2].size() % evidenceSize == 0 && areNumbers(root[3]) && areNumbers(root[4]);
    if (!isTyped)
        return absl::InvalidArgumentError("not events about endpoints");
    EndpointEvents events;
    events.dataCentre = root[1].get<std::string>();
    for (size_t i = 0; i < root[2].size(); i += evidenceSize)
        events.partEvidence.push_back({ root[2][i].get<uint64_t>(), root[2][i + 1].get<uint32_t>(), root[2][i + 2].get<uint32_t>() });
    events.leavingEndpoints = root[3].get<std::vector<uint32_t>>();
    events.slowEndpoints = root[4].get<std::vector<uint32_t>>();
    return events;
}

} // namespace bilberry
