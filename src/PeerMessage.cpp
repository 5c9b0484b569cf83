#include "PeerMessage.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace bilberry {

using nlohmann::json;

// First element of each encoded message or notice; changes with the layout.
static constexpr uint32_t layoutVersion = 3;
static constexpr uint32_t noticeLayoutVersion = 101;
// Size of one packed load.
static constexpr size_t packedLoadBytes = 5;

uint32_t endpointHash(const std::string& id)
{
    return static_cast<uint32_t>(XXH64(id.data(), id.size(), 0));
}

// Loads make up most of a message, so each is packed into four bytes of the endpoint's hash, lowest byte first, and one byte
// of the number of requests, which is limited to 255.
static std::vector<uint8_t> packLoads(const std::vector<PeerLoad>& loads)
{
    std::vector<uint8_t> bytes;
    bytes.reserve(loads.size() * packedLoadBytes);
    for (const auto& load : loads) {
        for (int shift = 0; shift < 32; shift += 8)
            bytes.push_back(static_cast<uint8_t>(load.endpoint >> shift));
        bytes.push_back(static_cast<uint8_t>(std::min<uint32_t>(load.inFlight, UINT8_MAX)));
    }
    return bytes;
}

static std::vector<PeerLoad> unpackLoads(const std::vector<uint8_t>& bytes)
{
    std::vector<PeerLoad> loads;
    for (size_t at = 0; at + packedLoadBytes <= bytes.size(); at += packedLoadBytes) {
        uint32_t endpoint = 0;
        for (int i = 0; i < 4; ++i)
            endpoint |= static_cast<uint32_t>(bytes[at + static_cast<size_t>(i)]) << (8 * i);
        loads.push_back({ endpoint, bytes[at + 4] });
    }
    return loads;
}

std::string encodePeerMessage(const PeerMessage& message)
{
    json crashes = json::array();
    for (const auto& crash : message.crashes) {
        crashes.push_back(crash.fingerprint);
        crashes.push_back(crash.endpointHash);
    }
    json notices = json::array();
    for (const auto& notice : message.notices)
        notices.push_back(json::array({ notice.address, notice.version, notice.sequence }));
    json refusals = json::array();
    for (const auto& refusal : message.refusals) {
        refusals.push_back(refusal.fingerprint);
        refusals.push_back(static_cast<uint64_t>(std::max<int64_t>(0, refusal.timeSinceFirstArrival.count())));
    }
    json root = json::array({ layoutVersion, message.incarnation, message.sequence, message.isStopping, message.viewAge.count(), json::binary(packLoads(message.loads)), message.peers, crashes, notices, refusals, message.dataCentre });
    auto bytes = json::to_msgpack(root);
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

static bool areStrings(const json& list)
{
    if (!list.is_array())
        return false;
    for (const auto& entry : list) {
        if (!entry.is_string())
            return false;
    }
    return true;
}

static bool areLoads(const json& packed)
{
    return packed.is_binary() && packed.get_binary().size() % packedLoadBytes == 0;
}

static bool isNotice(const json& row)
{
    return row.is_array() && row.size() == 3 && row[0].is_string() && row[1].is_number_unsigned() && row[2].is_number_unsigned();
}

static bool areNotices(const json& list)
{
    return list.is_array() && std::all_of(list.begin(), list.end(), isNotice);
}

static EngineNotice readNotice(const json& row)
{
    return { row[0].get<std::string>(), row[1].get<uint32_t>(), row[2].get<uint64_t>() };
}

std::string encodeNotice(const EngineNotice& notice)
{
    auto bytes = json::to_msgpack(json::array({ noticeLayoutVersion, json::array({ notice.address, notice.version, notice.sequence }) }));
    return std::string(bytes.begin(), bytes.end());
}

absl::StatusOr<EngineNotice> decodeNotice(const std::string& bytes)
{
    auto root = json::from_msgpack(bytes, true, false);
    bool isTyped = root.is_array() && root.size() == 2 && root[0].is_number_unsigned() && root[0].get<uint32_t>() == noticeLayoutVersion && isNotice(root[1]);
    if (!isTyped)
        return absl::InvalidArgumentError("not an engine notice");
    return readNotice(root[1]);
}

absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    auto root = json::from_msgpack(bytes, true, false);
    bool hasLayout = root.is_array() && root.size() == 11 && root[0].is_number_unsigned() && root[0].get<uint32_t>() == layoutVersion;
    if (!hasLayout)
        return absl::InvalidArgumentError("not a peer message of the current layout");
    bool isTyped = root[1].is_number_unsigned() && root[2].is_number_unsigned() && root[3].is_boolean() && root[4].is_number_integer()
        && areLoads(root[5]) && areStrings(root[6]) && areNumbers(root[7]) && root[7].size() % 2 == 0 && areNotices(root[8])
        && areNumbers(root[9]) && root[9].size() % 2 == 0 && root[10].is_string();
    if (!isTyped)
        return absl::InvalidArgumentError("a field of the peer message has the wrong type");
    PeerMessage message;
    message.incarnation = root[1].get<uint64_t>();
    message.sequence = root[2].get<uint64_t>();
    message.isStopping = root[3].get<bool>();
    message.viewAge = Milliseconds(root[4].get<int64_t>());
    message.loads = unpackLoads(root[5].get_binary());
    message.peers = root[6].get<std::vector<std::string>>();
    for (size_t i = 0; i + 1 < root[7].size(); i += 2)
        message.crashes.push_back({ root[7][i].get<uint64_t>(), root[7][i + 1].get<uint32_t>() });
    for (const auto& row : root[8])
        message.notices.push_back(readNotice(row));
    for (size_t i = 0; i + 1 < root[9].size(); i += 2)
        message.refusals.push_back({ root[9][i].get<uint64_t>(), Milliseconds(root[9][i + 1].get<uint32_t>()) });
    message.dataCentre = root[10].get<std::string>();
    return message;
}

} // namespace bilberry
