#include "ExchangeMessage.h"

#include "Rendezvous.h"

#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

static constexpr size_t maxNameLength = 256;
// A message with a higher report age is rejected as malformed.
static constexpr Milliseconds maxReportAge { 24 * 3'600'000 };

uint64_t hashNames(const std::vector<std::string>& names)
{
    uint64_t hash = 1;
    for (const auto& name : names)
        hash = hashText(name, hash);
    return hash == 0 ? 1 : hash;
}

static json toJson(const DocumentVersion& version)
{
    return { { "generation", version.generation }, { "digest", version.digest } };
}

static bool readVersion(const json& object, DocumentVersion& version)
{
    object.at("generation").get_to(version.generation);
    object.at("digest").get_to(version.digest);
    return version.digest.size() <= versionDigestLength && version.generation <= maxGeneration;
}

std::string toText(const ExchangeMessage& message)
{
    json documents = json::array();
    for (const auto& version : message.documents)
        documents.push_back(toJson(version));
    json rows = json::array();
    for (const auto& row : message.rows)
        rows.push_back({ { "age_ms", row.age.count() }, { "status", toJson(row.status) } });
    json object { { "vm", message.vm }, { "documents", documents }, { "rows", rows } };
    if (message.coveredVmsHash != 0) {
        // The hash is sent as a string, since the JSON parser of JsonRpcBridge, which the message passes, can't represent
        // all 64-bit unsigned numbers exactly.
        object["members"] = std::to_string(message.coveredVmsHash);
        object["data_centre"] = message.dataCentre;
        object["digest"] = message.digest;
    }
    return object.dump();
}

static bool readRows(const json& rows, ExchangeMessage& message)
{
    if (!rows.is_array() || rows.size() > maxRowsPerMessage)
        return false;
    for (const auto& row : rows) {
        auto age = row.at("age_ms").get<int64_t>();
        auto status = parseVmStatus(row.at("status"));
        if (!status || age < 0 || age > maxReportAge.count())
            return false;
        message.rows.push_back({ std::move(*status), Milliseconds(age) });
    }
    return true;
}

static bool readExchange(const json& object, ExchangeMessage& message)
{
    object.at("vm").get_to(message.vm);
    const json& documents = object.at("documents");
    if (message.vm.size() > maxNameLength || !documents.is_array() || documents.size() != documentKindCount)
        return false;
    for (size_t kind = 0; kind < documentKindCount; ++kind) {
        if (!readVersion(documents[kind], message.documents[kind]))
            return false;
    }
    if (object.contains("members")) {
        message.coveredVmsHash = std::stoull(object.at("members").get<std::string>());
        object.at("data_centre").get_to(message.dataCentre);
        object.at("digest").get_to(message.digest);
    }
    return readRows(object.at("rows"), message);
}

std::optional<ExchangeMessage> parseExchange(std::string_view text)
{
    if (text.size() > maxExchangeBytes)
        return std::nullopt;
    ExchangeMessage message;
    try {
        if (readExchange(json::parse(text), message))
            return message;
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const std::logic_error&) {
        return std::nullopt; // std::stoull() throws these on a malformed hash.
    }
    return std::nullopt;
}

std::string toText(const Announcement& announcement)
{
    json object = toJson(announcement.document);
    object["vm"] = announcement.vm;
    object["kind"] = static_cast<int>(announcement.kind);
    return object.dump();
}

std::optional<Announcement> parseAnnouncement(std::string_view text)
{
    if (text.size() > maxExchangeBytes)
        return std::nullopt;
    Announcement announcement;
    try {
        auto object = json::parse(text);
        object.at("vm").get_to(announcement.vm);
        int kind = object.at("kind").get<int>();
        if (kind < 0 || kind >= documentKindCount || announcement.vm.size() > maxNameLength)
            return std::nullopt;
        announcement.kind = static_cast<DocumentKind>(kind);
        if (!readVersion(object, announcement.document))
            return std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return announcement;
}

} // namespace bilberry
