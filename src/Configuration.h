/// Parses a published configuration, which holds the inventory and the rules under one generation number, and answers
/// questions about it. A document with any fault is rejected whole, so that no process runs on half of a configuration.
#pragma once

#include "Inventory.h"
#include "Rules.h"

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

struct Configuration {
    Generation generation = 0;
    std::string digest; ///< SHA-256 of `text` as hex digits.
    std::string text; ///< The document as published, so that peers can pass it on unchanged.
    Inventory inventory;
    Rules rules;
    std::vector<std::string> warnings; ///< One entry for each unknown field, with its path.
};

/// A configuration that threads share; it never changes once made.
using ConfigurationPointer = std::shared_ptr<const Configuration>;

/// Size limit of a document in bytes; the platform stores no larger value.
constexpr size_t maxConfigurationBytes = 1 << 20;

/// Parses and checks a published document. The error reports every fault, not only the first: its message has one line
/// per fault with the path inside the document, the value and the reason. Thread safe.
absl::StatusOr<Configuration> parseConfiguration(std::string_view text, Generation);

/// Whether the operators have taken the data centre out of service. Thread safe.
bool isDataCentreOutOfService(const Configuration&, RowIndex dataCentre);

/// Whether the operators are removing the VM. Thread safe.
bool isVmLeaving(const Configuration&, RowIndex vm);

/// Finds the service that a request addresses: by the model's name for paths below /v1/, and by the longest matching
/// path prefix for all others. Returns noRow when there is none. Thread safe.
RowIndex findService(const Inventory&, std::string_view path, std::string_view modelName);

/// Whether the rules say that the request may run at most once. Thread safe.
bool isUnrepeatable(const Rules&, RowIndex service, std::string_view method, std::string_view path);

} // namespace bilberry
