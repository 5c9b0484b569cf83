#include "DocumentFiles.h"

#include "DocumentReader.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace bilberry {

using nlohmann::json;

static absl::StatusOr<json> readJsonFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return absl::NotFoundError(absl::StrCat(path, ": can't be read"));
    std::stringstream content;
    content << file.rdbuf();
    auto document = parseDocument(content.str());
    if (!document.ok())
        return absl::InvalidArgumentError(absl::StrCat(path, ": ", std::string(document.status().message())));
    if (!document->is_object())
        return absl::InvalidArgumentError(absl::StrCat(path, ": must be an object"));
    return document;
}

using Faults = std::vector<std::string>;

static void addPart(json& document, const std::string& part, const json& value, const std::string& path, Faults& faults)
{
    if (document.contains(part))
        faults.push_back(absl::StrCat(path, ": duplicate ", part));
    else
        document[part] = value;
}

static void addFile(json& document, const json& content, const std::string& path, Faults& faults)
{
    if (!content.contains("inventory") && !content.contains("rules")) {
        addPart(document, content.contains("vms") ? "inventory" : "rules", content, path, faults);
        return;
    }
    for (const auto& [part, value] : content.items())
        addPart(document, part, value, path, faults);
}

absl::StatusOr<std::string> joinDocumentFiles(const std::vector<std::string>& paths)
{
    json document = json::object();
    Faults faults;
    for (const auto& path : paths) {
        auto content = readJsonFile(path);
        if (content.ok())
            addFile(document, *content, path, faults);
        else
            faults.emplace_back(content.status().message());
    }
    if (!faults.empty())
        return absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
    return document.dump(-1, ' ', true, json::error_handler_t::replace);
}

} // namespace bilberry
