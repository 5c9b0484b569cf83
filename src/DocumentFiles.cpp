#include "DocumentFiles.h"

#include <absl/strings/str_cat.h>
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
    try {
        return json::parse(content.str());
    } catch (const json::exception& exception) {
        return absl::InvalidArgumentError(absl::StrCat(path, ": no valid JSON: ", exception.what()));
    }
}

static absl::Status addPart(json& document, const char* part, const json& value, const std::string& path)
{
    if (document.contains(part))
        return absl::InvalidArgumentError(absl::StrCat(path, ": a second ", part));
    document[part] = value;
    return absl::OkStatus();
}

absl::StatusOr<std::string> joinDocumentFiles(const std::vector<std::string>& paths)
{
    json document = json::object();
    for (const auto& path : paths) {
        auto content = readJsonFile(path);
        if (!content.ok())
            return content.status();
        if (!content->is_object())
            return absl::InvalidArgumentError(absl::StrCat(path, ": must be an object"));
        if (content->contains("inventory") || content->contains("rules")) {
            for (const auto& [part, value] : content->items()) {
                auto status = addPart(document, part.c_str(), value, path);
                if (!status.ok())
                    return status;
            }
            continue;
        }
        auto status = addPart(document, content->contains("vms") ? "inventory" : "rules", *content, path);
        if (!status.ok())
            return status;
    }
    return document.dump();
}

} // namespace bilberry
