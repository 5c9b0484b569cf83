#include "VmStatus.h"

#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// Bounds of one report, so that a malformed or hostile one can't use up memory.
static constexpr size_t maxModelsPerReport = 64;
static constexpr size_t maxChunksPerHolding = 65536;
static constexpr size_t maxNameLength = 256;
// Bounds the numbers that are counted up from, so that counting on from an accepted one can't overflow.
static constexpr uint64_t maxCounterValue = uint64_t(1) << 62;

// Encodes the bits as hex digits. One digit holds four chunks, the first in the lowest bit.
static std::string packBits(const std::vector<bool>& bits)
{
    static constexpr char hexDigits[] = "0123456789abcdef";
    std::string text((bits.size() + 3) / 4, '0');
    for (size_t i = 0; i < text.size(); ++i) {
        int digit = 0;
        for (size_t bit = 0; bit < 4 && i * 4 + bit < bits.size(); ++bit)
            digit |= bits[i * 4 + bit] ? 1 << bit : 0;
        text[i] = hexDigits[digit];
    }
    return text;
}

static std::vector<bool> unpackBits(const std::string& text, size_t count)
{
    std::vector<bool> bits(count);
    for (size_t i = 0; i < count && i / 4 < text.size(); ++i) {
        char character = text[i / 4];
        unsigned digit = static_cast<unsigned>(character >= 'a' ? character - 'a' + 10 : character - '0') & 15U;
        bits[i] = (digit >> (i % 4) & 1U) != 0;
    }
    return bits;
}

json toJson(const VmStatus& status)
{
    json served = json::array();
    for (const auto& model : status.servedModels)
        served.push_back({ { "model", model.model }, { "digest", model.digest } });
    json holdings = json::array();
    for (const auto& holding : status.holdings)
        holdings.push_back({ { "digest", holding.digest }, { "count", holding.chunks.size() }, { "chunks", packBits(holding.chunks) } });
    return { { "vm", status.vm }, { "incarnation", status.incarnation }, { "sequence", status.sequence },
        { "generation", status.generation }, { "leaving", status.isLeaving }, { "cold", status.isCold }, { "lacks_service", status.isConfigurationServiceUnreachable },
        { "in_progress", status.requestsInProgress }, { "limit", status.admissionLimit }, { "served", served }, { "holdings", holdings } };
}

static bool isWithinBounds(const VmStatus& status)
{
    bool isPlausible = status.incarnation <= maxCounterValue && status.sequence <= maxCounterValue && status.generation <= maxCounterValue;
    return isPlausible && !status.vm.empty() && status.vm.size() <= maxNameLength && status.servedModels.size() <= maxModelsPerReport && status.holdings.size() <= maxModelsPerReport;
}

std::optional<VmStatus> parseVmStatus(const json& object)
{
    VmStatus status;
    try {
        object.at("vm").get_to(status.vm);
        object.at("incarnation").get_to(status.incarnation);
        object.at("sequence").get_to(status.sequence);
        object.at("generation").get_to(status.generation);
        object.at("leaving").get_to(status.isLeaving);
        object.at("cold").get_to(status.isCold);
        status.isConfigurationServiceUnreachable = object.value("lacks_service", false);
        object.at("in_progress").get_to(status.requestsInProgress);
        object.at("limit").get_to(status.admissionLimit);
        for (const auto& model : object.at("served"))
            status.servedModels.push_back({ model.at("model").get<std::string>(), model.at("digest").get<std::string>() });
        for (const auto& holding : object.at("holdings")) {
            auto count = holding.at("count").get<size_t>();
            if (count > maxChunksPerHolding)
                return std::nullopt;
            status.holdings.push_back({ holding.at("digest").get<std::string>(), unpackBits(holding.at("chunks").get<std::string>(), count) });
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    if (!isWithinBounds(status))
        return std::nullopt;
    return status;
}

} // namespace bilberry
