#include "KeyHandOverMessage.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// Bytes of the numbers and names around a row.
static constexpr size_t rowFrameBytes = 100;
// Latest start of a tenure that is read, in Unix microseconds: the year 2200.
static constexpr int64_t maxSinceMicroseconds = 7'258'118'400'000'000;

// Keys and answers may hold any bytes.
static std::string toBase64(const std::string& bytes)
{
    return absl::Base64Escape(bytes);
}

static std::optional<std::string> fromBase64(const std::string& text)
{
    std::string bytes;
    bool isRead = absl::Base64Unescape(text, &bytes);
    return isRead ? std::optional(std::move(bytes)) : std::nullopt;
}

static json toJson(const KeyRecord& row)
{
    json object { { "key", toBase64(row.key) }, { "request", row.requestHash } };
    if (row.answer)
        object["answer"] = { { "status", row.answer->status }, { "type", toBase64(row.answer->contentType) }, { "body", toBase64(row.answer->body) }, { "kept", row.answer->isKept } };
    return object;
}

static json toJson(const SlotHandOver& slot)
{
    json grants = json::object();
    for (const auto& [voter, grant] : slot.tenure.grants)
        grants[voter] = { grant.memory.incarnation, grant.memory.voterChanges, grant.number };
    json rows = json::array();
    for (const auto& row : slot.rows)
        rows.push_back(toJson(row));
    auto since = std::chrono::duration_cast<std::chrono::microseconds>(slot.tenure.since.time_since_epoch());
    return { { "slot", slot.tenure.slot }, { "since_us", since.count() }, { "voters", slot.tenure.voters }, { "grants", grants }, { "rows", rows } };
}

std::string formatHandOver(const HandOverMessage& message)
{
    json slots = json::array();
    for (const auto& slot : message.slots)
        slots.push_back(toJson(slot));
    return json { { "service", message.service }, { "slots", slots } }.dump();
}

static bool readAnswer(const json& object, KeyedAnswer& answer)
{
    auto type = fromBase64(object.at("type").get<std::string>());
    auto body = fromBase64(object.at("body").get<std::string>());
    if (!type || !body)
        return false;
    object.at("status").get_to(answer.status);
    object.at("kept").get_to(answer.isKept);
    answer.contentType = std::move(*type);
    answer.body = std::move(*body);
    return true;
}

static bool readRow(const json& object, KeyRecord& row)
{
    auto key = fromBase64(object.at("key").get<std::string>());
    if (!key)
        return false;
    row.key = std::move(*key);
    object.at("request").get_to(row.requestHash);
    return !object.contains("answer") || readAnswer(object.at("answer"), row.answer.emplace());
}

static bool readSlot(const json& object, SlotHandOver& slot)
{
    object.at("slot").get_to(slot.tenure.slot);
    auto since = object.at("since_us").get<int64_t>();
    if (since < 0 || since > maxSinceMicroseconds)
        return false;
    // The earliest time that is not before the former owner's: a later start vouches for less.
    slot.tenure.since = WallTime(std::chrono::microseconds(since + 1));
    object.at("voters").get_to(slot.tenure.voters);
    for (const auto& [voter, numbers] : object.at("grants").items())
        slot.tenure.grants[voter] = { { numbers.at(0).get<uint64_t>(), numbers.at(1).get<uint64_t>() }, numbers.at(2).get<uint64_t>() };
    for (const auto& row : object.at("rows")) {
        if (!readRow(row, slot.rows.emplace_back()) || findKeySlot(slot.rows.back().key) != slot.tenure.slot)
            return false;
    }
    return slot.tenure.slot < keySlotCount && slot.tenure.voters.size() <= maxKeyVoters;
}

std::optional<HandOverMessage> parseHandOver(const std::string& text)
{
    HandOverMessage message;
    try {
        auto object = json::parse(text);
        object.at("service").get_to(message.service);
        for (const auto& slot : object.at("slots")) {
            if (!readSlot(slot, message.slots.emplace_back()))
                return std::nullopt;
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return message;
}

size_t measureHandOver(const SlotHandOver& slot)
{
    size_t bytes = rowFrameBytes * (1 + slot.tenure.grants.size());
    for (const auto& row : slot.rows) {
        size_t payload = row.key.size() + (row.answer ? row.answer->body.size() + row.answer->contentType.size() : 0);
        bytes += rowFrameBytes + payload * 4 / 3;
    }
    return bytes;
}

} // namespace bilberry
