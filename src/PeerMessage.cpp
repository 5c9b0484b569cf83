#include "PeerMessage.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <xxhash.h>

namespace bilberry {

using nlohmann::json;

// First element of each encoded notice; messages begin with their PeerMessageLayout.
static constexpr uint32_t noticeLayoutVersion = 101;
// Number of elements of a message in each layout.
static constexpr size_t elementsWithoutDigests = 11;
static constexpr size_t elementsWithDigests = 17;
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

static json encodePeers(const PeerMessage& message)
{
    json peers = json::array();
    for (const auto& peer : message.peers) {
        peers.push_back(peer.ip);
        if (message.layout == PeerMessageLayout::WithDigests)
            peers.push_back(peer.dataCentre);
    }
    return peers;
}

static json encodeDigests(const PeerMessage& message)
{
    json digests = json::array();
    for (const auto& digest : message.digests)
        digests.push_back(json::array({ digest.dataCentre, digest.contacts, digest.entryCount, std::max<int64_t>(0, digest.age.count()), json::binary(packLoads(digest.loads)) }));
    return digests;
}

// The version that isn't to be used is in the upper half of the version, which entries of the previous release ignore.
static json encodeNoticeRow(const EngineNotice& notice)
{
    uint64_t versions = (static_cast<uint64_t>(notice.unusableVersion) << 32) | notice.version;
    return json::array({ notice.address, versions, notice.sequence });
}

std::string encodePeerMessage(const PeerMessage& message)
{
    json crashes = json::array();
    for (const auto& crash : message.crashes) {
        crashes.push_back(crash.fingerprint);
        crashes.push_back(crash.runHash);
    }
    json notices = json::array();
    for (const auto& notice : message.notices)
        notices.push_back(encodeNoticeRow(notice));
    json refusals = json::array();
    for (const auto& refusal : message.refusals) {
        refusals.push_back(refusal.fingerprint);
        refusals.push_back(static_cast<uint64_t>(std::max<int64_t>(0, refusal.timeSinceFirstArrival.count())));
    }
    json root = json::array({ static_cast<uint32_t>(message.layout), message.incarnation, message.sequence, message.isStopping, message.viewAge.count(), json::binary(packLoads(message.loads)), encodePeers(message), crashes, notices, refusals, message.dataCentre });
    if (message.layout == PeerMessageLayout::WithDigests) {
        root.push_back(message.wantsPeers);
        root.push_back(encodeDigests(message));
        root.push_back(message.switchingEngines);
        root.push_back(message.storeVersion.era);
        root.push_back(message.storeVersion.revision);
        root.push_back(message.generation);
    }
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
    auto versions = row[1].get<uint64_t>();
    return { row[0].get<std::string>(), static_cast<uint32_t>(versions), row[2].get<uint64_t>(), static_cast<uint32_t>(versions >> 32) };
}

std::string encodeNotice(const EngineNotice& notice)
{
    auto bytes = json::to_msgpack(json::array({ noticeLayoutVersion, encodeNoticeRow(notice) }));
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

static bool isDigest(const json& row)
{
    return row.is_array() && row.size() == 5 && row[0].is_string() && areStrings(row[1]) && row[2].is_number_unsigned() && row[3].is_number_unsigned() && areLoads(row[4]);
}

// Returns the layout of a message, or std::nullopt if the element that states it or the number of elements is wrong.
static std::optional<PeerMessageLayout> readLayout(const json& root)
{
    if (!root.is_array() || root.empty() || !root[0].is_number_unsigned())
        return std::nullopt;
    auto layout = root[0].get<uint32_t>();
    if (layout == static_cast<uint32_t>(PeerMessageLayout::WithoutDigests) && root.size() == elementsWithoutDigests)
        return PeerMessageLayout::WithoutDigests;
    if (layout == static_cast<uint32_t>(PeerMessageLayout::WithDigests) && root.size() == elementsWithDigests)
        return PeerMessageLayout::WithDigests;
    return std::nullopt;
}

static bool isTyped(const json& root, PeerMessageLayout layout)
{
    bool isBaseTyped = root[1].is_number_unsigned() && root[2].is_number_unsigned() && root[3].is_boolean() && root[4].is_number_integer()
        && areLoads(root[5]) && areStrings(root[6]) && areNumbers(root[7]) && root[7].size() % 2 == 0 && areNotices(root[8])
        && areNumbers(root[9]) && root[9].size() % 2 == 0 && root[10].is_string();
    if (!isBaseTyped || layout == PeerMessageLayout::WithoutDigests)
        return isBaseTyped;
    return root[6].size() % 2 == 0 && root[11].is_boolean() && root[12].is_array() && std::all_of(root[12].begin(), root[12].end(), isDigest) && areNumbers(root[13])
        && root[14].is_number_unsigned() && root[15].is_number_unsigned() && root[16].is_number_unsigned();
}

static void readPeers(const json& list, PeerMessage& message)
{
    bool hasDataCentres = message.layout == PeerMessageLayout::WithDigests;
    for (size_t i = 0; i < list.size(); i += hasDataCentres ? 2 : 1)
        message.peers.push_back({ list[i].get<std::string>(), hasDataCentres ? list[i + 1].get<std::string>() : std::string() });
}

static void readDigests(const json& list, PeerMessage& message)
{
    for (const auto& row : list)
        message.digests.push_back({ row[0].get<std::string>(), row[1].get<std::vector<std::string>>(), row[2].get<uint32_t>(), Milliseconds(row[3].get<uint32_t>()), unpackLoads(row[4].get_binary()) });
}

absl::StatusOr<PeerMessage> decodePeerMessage(const std::string& bytes)
{
    auto root = json::from_msgpack(bytes, true, false);
    auto layout = readLayout(root);
    if (!layout)
        return absl::InvalidArgumentError("not a peer message of a known layout");
    if (!isTyped(root, *layout))
        return absl::InvalidArgumentError("a field of the peer message has the wrong type");
    PeerMessage message;
    message.layout = *layout;
    message.incarnation = root[1].get<uint64_t>();
    message.sequence = root[2].get<uint64_t>();
    message.isStopping = root[3].get<bool>();
    message.viewAge = Milliseconds(root[4].get<int64_t>());
    message.loads = unpackLoads(root[5].get_binary());
    readPeers(root[6], message);
    for (size_t i = 0; i + 1 < root[7].size(); i += 2)
        message.crashes.push_back({ root[7][i].get<uint64_t>(), root[7][i + 1].get<uint32_t>() });
    for (const auto& row : root[8])
        message.notices.push_back(readNotice(row));
    for (size_t i = 0; i + 1 < root[9].size(); i += 2)
        message.refusals.push_back({ root[9][i].get<uint64_t>(), Milliseconds(root[9][i + 1].get<uint32_t>()) });
    message.dataCentre = root[10].get<std::string>();
    if (*layout == PeerMessageLayout::WithoutDigests)
        return message;
    message.wantsPeers = root[11].get<bool>();
    readDigests(root[12], message);
    message.switchingEngines = root[13].get<std::vector<uint32_t>>();
    message.storeVersion = { root[14].get<uint64_t>(), root[15].get<uint64_t>() };
    message.generation = root[16].get<uint64_t>();
    return message;
}

} // namespace bilberry
