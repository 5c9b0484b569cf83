#include "Configuration.h"

#include "Digest.h"
#include "DocumentReader.h"
#include "InventoryParser.h"
#include "RulesParser.h"

#include <absl/strings/str_join.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace bilberry {

// The configuration being built and the faults found so far.
struct ParseState {
    Configuration configuration;
    std::vector<std::string> faults;
};

absl::StatusOr<Configuration> parseConfiguration(std::string_view text, Generation generation)
{
    if (text.size() > maxConfigurationBytes)
        return absl::InvalidArgumentError("$: the document is larger than 1 MiB");
    auto document = parseDocument(text);
    if (!document.ok())
        return document.status();
    ParseState state;
    Configuration& configuration = state.configuration;
    configuration.generation = generation;
    DocumentReader root(*document, "$", state.faults, configuration.warnings);
    auto inventory = root.readObject("inventory");
    auto rules = root.readObject("rules");
    root.reportUnknownFields();
    if (state.faults.empty()) {
        parseInventory(inventory, configuration.inventory);
        parseRules(rules, configuration.inventory, configuration.rules);
    }
    if (!state.faults.empty())
        return absl::InvalidArgumentError(absl::StrJoin(state.faults, "\n"));
    configuration.text = std::string(text);
    configuration.digest = sha256Hex(text);
    return std::move(state.configuration);
}

bool isDataCentreOutOfService(const Configuration& configuration, RowIndex dataCentre)
{
    const auto& out = configuration.rules.outOfServiceDataCentres;
    return std::find(out.begin(), out.end(), dataCentre) != out.end();
}

bool isVmLeaving(const Configuration& configuration, RowIndex vm)
{
    const auto& leaving = configuration.rules.leavingVms;
    return std::find(leaving.begin(), leaving.end(), vm) != leaving.end();
}

static RowIndex findModelService(const Inventory& inventory, std::string_view modelName)
{
    RowIndex model = findRow(inventory.models, modelName);
    return model == noRow ? noRow : inventory.models[model].service;
}

RowIndex findService(const Inventory& inventory, std::string_view path, std::string_view modelName)
{
    if (path.substr(0, 4) == "/v1/")
        return findModelService(inventory, modelName);
    RowIndex longestMatch = noRow;
    size_t longestLength = 0;
    for (RowIndex index = 0; index < inventory.services.size(); ++index) {
        const std::string& prefix = inventory.services[index].pathPrefix;
        if (prefix.size() > longestLength && isPathWithin(path, prefix)) {
            longestMatch = index;
            longestLength = prefix.size();
        }
    }
    return longestMatch;
}

bool isUnrepeatable(const Rules& rules, RowIndex service, std::string_view method, std::string_view path)
{
    for (const auto& rule : rules.unrepeatableRules) {
        bool isSameCall = rule.service == service && rule.method == method;
        if (isSameCall && path.substr(0, rule.pathPrefix.size()) == rule.pathPrefix)
            return true;
    }
    return false;
}

} // namespace bilberry
