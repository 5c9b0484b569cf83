#include "Holdings.h"

#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

static constexpr int bitsPerDigit = 4;

static std::string packBits(const std::vector<bool>& bits)
{
    static constexpr char hexDigits[] = "0123456789abcdef";
    std::string packed;
    for (size_t i = 0; i < bits.size(); i += bitsPerDigit) {
        unsigned digit = 0;
        for (size_t bit = i; bit < std::min(i + bitsPerDigit, bits.size()); ++bit)
            digit |= static_cast<unsigned>(bits[bit]) << (bit - i);
        packed += hexDigits[digit];
    }
    return packed;
}

static std::optional<std::vector<bool>> unpackBits(const std::string& packed, size_t count)
{
    if (packed.size() != (count + bitsPerDigit - 1) / bitsPerDigit || packed.find_first_not_of("0123456789abcdef") != std::string::npos)
        return std::nullopt;
    std::vector<bool> bits(count);
    for (size_t i = 0; i < count; ++i) {
        char digit = packed[i / bitsPerDigit];
        int value = digit <= '9' ? digit - '0' : digit - 'a' + 10;
        bits[i] = (value >> (i % bitsPerDigit) & 1) != 0;
    }
    return bits;
}

bool shouldReplaceHoldings(const Holdings& known, const Holdings& reported)
{
    return known.digest != reported.digest || reported.receivedBytes >= known.receivedBytes;
}

std::string toText(const Holdings& holdings)
{
    return json { { "label", holdings.label }, { "digest", holdings.digest }, { "age_ms", holdings.confirmedAge.count() }, { "received", holdings.receivedBytes }, { "count", holdings.chunks.size() }, { "chunks", packBits(holdings.chunks) } }.dump();
}

std::optional<Holdings> parseHoldings(std::string_view text)
{
    if (text.size() > maxHoldingsBytes)
        return std::nullopt;
    try {
        auto document = json::parse(text);
        Holdings holdings;
        holdings.label = document.at("label").get<std::string>();
        holdings.digest = document.at("digest").get<std::string>();
        holdings.confirmedAge = Milliseconds(document.at("age_ms").get<int64_t>());
        holdings.receivedBytes = document.at("received").get<uint64_t>();
        auto chunks = unpackBits(document.at("chunks").get<std::string>(), document.at("count").get<size_t>());
        if (!chunks || holdings.confirmedAge < Milliseconds(0))
            return std::nullopt;
        holdings.chunks = std::move(*chunks);
        return holdings;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace bilberry
