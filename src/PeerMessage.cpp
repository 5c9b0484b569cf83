#include "PeerMessage.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace bilberry {

using nlohmann::json;

// First element of each message; changes with its layout.
static constexpr uint32_t layoutVersion = 1;

uint32_t endpointHash(const std::string& id)
{
    return static_cast<uint32_t>(XXH64(id.data(), id.size(), 0));
}

std::string encodePeerMessage(const PeerMessage& message)
{
    json loads = json::array();
    for (const auto& load : message.loads) {
        loads.push_back(load.endpoint);
        loads.push_back(load.inFlight);
    }
    json whole = json::array({ layoutVersion, message.incarnation, message.sequence, message.isStopping, message.beliefAge.count(), loads, message.peers, message.crashes });
    auto bytes = json::to_msgpack(whole);
    return std::string(bytes.begin(), bytes.end());
}

static bool areNumbers(const json& list)
{
    if (!list.is_array())
        return false;
    for (const auto& entry : list) {
        if (!entry.is_number_unsigned())
            return false;
    }
    return true;
}

static bool areTexts(const json& list)
{
    if (!list.is_array())
        return false;
    for (const auto& entry : list) {
        if (!entry.is_string())
            return false;
    }
    return true;
}

absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    auto whole = json::from_msgpack(bytes, true, false);
    bool hasLayout = whole.is_array() && whole.size() == 8 && whole[0].is_number_unsigned() && whole[0].get<uint32_t>() == layoutVersion;
    if (!hasLayout)
        return absl::InvalidArgumentError("not a message of this layout");
    bool isTyped = whole[1].is_number_unsigned() && whole[2].is_number_unsigned() && whole[3].is_boolean() && whole[4].is_number_integer()
        && areNumbers(whole[5]) && whole[5].size() % 2 == 0 && areTexts(whole[6]) && areNumbers(whole[7]);
    if (!isTyped)
        return absl::InvalidArgumentError("a field is of another type");
    PeerMessage message;
    message.incarnation = whole[1].get<uint64_t>();
    message.sequence = whole[2].get<uint64_t>();
    message.isStopping = whole[3].get<bool>();
    message.beliefAge = Milliseconds(whole[4].get<int64_t>());
    for (size_t i = 0; i + 1 < whole[5].size(); i += 2)
        message.loads.push_back({ whole[5][i].get<uint32_t>(), whole[5][i + 1].get<uint32_t>() });
    message.peers = whole[6].get<std::vector<std::string>>();
    message.crashes = whole[7].get<std::vector<uint64_t>>();
    return message;
}

} // namespace bilberry
