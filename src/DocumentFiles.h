/// Reading of inventory and rules from files, as an operator edits them.
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace bilberry {

/// Joins the files to one document `{"inventory": …, "rules": …}`. A file is such a document already, or an inventory
/// (it has "vms"), or rules. Errors, all of them at once: a file can't be read, is no JSON object, or a part comes twice.
absl::StatusOr<std::string> joinDocumentFiles(const std::vector<std::string>& paths);

} // namespace bilberry
