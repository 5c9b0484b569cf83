#include "DocumentFields.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace bilberry {

// Length limit of a row's name, in characters.
static constexpr size_t maxNameLength = 128;

void checkName(DocumentReader& reader, const char* field, std::string_view name)
{
    auto isAllowed = [](char character) { return absl::ascii_isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' || character == '.'; };
    if (name.size() > maxNameLength || !std::all_of(name.begin(), name.end(), isAllowed))
        reader.addFault(field, "must have at most 128 letters, digits, \"-\", \"_\" and \".\"");
}

void readName(DocumentReader& reader, std::set<std::string>& seen, std::string& name)
{
    reader.read("name", name, true);
    checkName(reader, "name", name);
    if (!name.empty() && !seen.insert(name).second)
        reader.addFault("name", "is used twice");
}

} // namespace bilberry
