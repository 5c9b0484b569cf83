#include "LiveList.h"

#include "DocumentReader.h"

#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

namespace bilberry {

absl::StatusOr<LiveList> parseLiveList(std::string_view text, Generation generation)
{
    auto document = parseDocument(text);
    if (!document.ok())
        return document.status();
    std::vector<std::string> faults;
    std::vector<std::string> warnings;
    DocumentReader root(*document, "$", faults, warnings);
    LiveList list;
    list.generation = generation;
    for (auto& reader : root.readArray("vms", true)) {
        std::string name;
        std::string state;
        reader.read("vm", name, true);
        reader.read("state", state, true);
        if (state != "live" && state != "leaving")
            reader.addFault("state", "must be \"live\" or \"leaving\"");
        list.vms[name] = state == "leaving" ? LiveState::Leaving : LiveState::Live;
    }
    if (!faults.empty())
        return absl::InvalidArgumentError(absl::StrJoin(faults, "\n"));
    return list;
}

} // namespace bilberry
