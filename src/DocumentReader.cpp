#include "DocumentReader.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace bilberry {

using nlohmann::json;

// Deepest nesting that is accepted. The documents need 5 levels.
static constexpr int maxDepth = 16;
// Longest part of a value that a fault quotes, in bytes.
static constexpr size_t maxQuotedLength = 60;

static std::string quoteValue(const json& value)
{
    std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    return text.size() <= maxQuotedLength ? text : text.substr(0, maxQuotedLength) + "…";
}

static const json& emptyObject()
{
    static const json value = json::object();
    return value;
}

absl::StatusOr<json> parseDocument(std::string_view text)
{
    bool isTooDeep = false;
    // Values that are nested too deeply are discarded during parsing, so that no code recurses into them.
    auto callback = [&](int depth, json::parse_event_t, json&) {
        isTooDeep = isTooDeep || depth > maxDepth;
        return !isTooDeep;
    };
    try {
        json document = json::parse(text, callback);
        if (isTooDeep)
            return absl::InvalidArgumentError("$: nested too deeply");
        return document;
    } catch (const json::exception& exception) {
        return absl::InvalidArgumentError(std::string("$: invalid JSON: ") + exception.what());
    }
}

DocumentReader::DocumentReader(const json& value, std::string path, std::vector<std::string>& faults, std::vector<std::string>& warnings)
    : value(&value)
    , ownPath(std::move(path))
    , faults(&faults)
    , warnings(&warnings)
{
    if (value.is_object())
        return;
    this->faults->push_back(fmt::format("{}: {}: must be an object", this->ownPath, quoteValue(value)));
    this->value = &emptyObject();
}

std::string DocumentReader::fieldPath(std::string_view field) const
{
    return field.empty() ? this->ownPath : fmt::format("{}.{}", this->ownPath, field);
}

void DocumentReader::addFault(std::string_view field, std::string_view reason)
{
    auto found = this->value->find(std::string(field));
    std::string shown = field.empty() ? quoteValue(*this->value) : found == this->value->end() ? "absent"
                                                                                               : quoteValue(*found);
    this->faults->push_back(fmt::format("{}: {}: {}", this->fieldPath(field), shown, reason));
}

const json* DocumentReader::findField(const char* field, bool required)
{
    this->knownFields.emplace_back(field);
    auto found = this->value->find(field);
    if (found != this->value->end())
        return &*found;
    if (required)
        this->addFault(field, "is required");
    return nullptr;
}

bool DocumentReader::hasField(const char* field) const
{
    return this->value->contains(field);
}

void DocumentReader::read(const char* field, std::string& target, bool required)
{
    const json* found = this->findField(field, required);
    if (!found)
        return;
    if (!found->is_string())
        return this->addFault(field, "must be a string");
    target = found->get<std::string>();
    if (required && target.empty())
        this->addFault(field, "must not be empty");
}

void DocumentReader::read(const char* field, bool& target)
{
    const json* found = this->findField(field, false);
    if (!found)
        return;
    if (!found->is_boolean())
        return this->addFault(field, "must be true or false");
    target = found->get<bool>();
}

bool DocumentReader::readInteger(const char* field, double low, double high, bool required, int64_t& target)
{
    const json* found = this->findField(field, required);
    if (!found)
        return false;
    if (!found->is_number_integer() || found->get<double>() < low || found->get<double>() > high) {
        this->addFault(field, fmt::format("must be an integer from {:.0f} to {:.0f}", low, high));
        return false;
    }
    target = found->get<int64_t>();
    return true;
}

void DocumentReader::read(const char* field, uint64_t& target, uint64_t low, uint64_t high, bool required)
{
    int64_t number = 0;
    if (this->readInteger(field, static_cast<double>(low), static_cast<double>(high), required, number))
        target = static_cast<uint64_t>(number);
}

void DocumentReader::read(const char* field, uint32_t& target, uint32_t low, uint32_t high, bool required)
{
    int64_t number = 0;
    if (this->readInteger(field, low, high, required, number))
        target = static_cast<uint32_t>(number);
}

void DocumentReader::read(const char* field, int& target, int low, int high, bool required)
{
    int64_t number = 0;
    if (this->readInteger(field, low, high, required, number))
        target = static_cast<int>(number);
}

void DocumentReader::read(const char* field, double& target, double low, double high)
{
    const json* found = this->findField(field, false);
    if (!found)
        return;
    if (!found->is_number() || found->get<double>() < low || found->get<double>() > high)
        return this->addFault(field, fmt::format("must be a number from {} to {}", low, high));
    target = found->get<double>();
}

std::vector<DocumentReader> DocumentReader::readArray(const char* field, bool required)
{
    std::vector<DocumentReader> readers;
    const json* found = this->findField(field, required);
    if (!found)
        return readers;
    if (!found->is_array()) {
        this->addFault(field, "must be an array");
        return readers;
    }
    for (size_t i = 0; i < found->size(); ++i)
        readers.emplace_back((*found)[i], fmt::format("{}[{}]", this->fieldPath(field), i), *this->faults, *this->warnings);
    return readers;
}

DocumentReader DocumentReader::readObject(const char* field)
{
    const json* found = this->findField(field, true);
    return DocumentReader(found ? *found : emptyObject(), this->fieldPath(field), *this->faults, *this->warnings);
}

std::vector<std::string> DocumentReader::readStrings(const char* field)
{
    std::vector<std::string> strings;
    const json* found = this->findField(field, false);
    if (!found)
        return strings;
    if (!found->is_array() || !std::all_of(found->begin(), found->end(), [](const json& element) { return element.is_string(); })) {
        this->addFault(field, "must be an array of strings");
        return strings;
    }
    return found->get<std::vector<std::string>>();
}

void DocumentReader::reportUnknownFields()
{
    for (const auto& [name, element] : this->value->items()) {
        if (std::find(this->knownFields.begin(), this->knownFields.end(), name) == this->knownFields.end())
            this->warnings->push_back(fmt::format("{}: unknown field, ignored", this->fieldPath(name)));
    }
}

} // namespace bilberry
