/// Reads the inventory and the rules of the configuration from the files that an operator edits.
#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace bilberry {

/// Joins the files into one document `{"inventory": …, "rules": …}`. A file is either such a document, an inventory (it has
/// a field "vms"), or rules. Returns InvalidArgument with all errors at once, one per line: a file that can't be read or is
/// not a JSON object, and a part that occurs more than once.
absl::StatusOr<std::string> joinDocumentFiles(const std::vector<std::string>& paths);

} // namespace bilberry
