/// A published configuration: inventory and rules under one generation.
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
    std::string digest; ///< SHA-256 of `text`, hex.
    std::string text; ///< As published, so that peers can pass it on unchanged.
    Inventory inventory;
    Rules rules;
    std::vector<std::string> warnings; ///< Unknown fields, with their path.
};

/// Shared between threads; never changed once made.
using ConfigurationPointer = std::shared_ptr<const Configuration>;

/// Largest document that is read, in bytes: the largest value the platform holds.
constexpr size_t maxConfigurationBytes = 1 << 20;

/// Parses and checks a published document. Every fault is reported, not only the first: the error's message has
/// one line a fault with the path inside the document, the value and the reason. Thread safe.
absl::StatusOr<Configuration> parseConfiguration(std::string_view text, Generation);

/// Whether the operators have taken the data centre out of service. Thread safe.
bool isDataCentreOutOfService(const Configuration&, RowIndex dataCentre);

/// Whether the operators are removing the VM. Thread safe.
bool isVmLeaving(const Configuration&, RowIndex vm);

/// The service that a request addresses: by the model's name for model paths, else by the longest path prefix.
/// noRow when there is none. Thread safe.
RowIndex findService(const Inventory&, std::string_view path, std::string_view modelName);

/// Whether the rules say that the request may run at most once. Thread safe.
bool isUnrepeatable(const Rules&, RowIndex service, std::string_view method, std::string_view path);

} // namespace bilberry
