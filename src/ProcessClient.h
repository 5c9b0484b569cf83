/// Calls from the operators' command line to the system's processes. Every call goes through one function, the place
/// for what all of them need, such as a signature.
#pragma once

#include "PublishedState.h"
#include "StatusReport.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace bilberry {

/// Calls a JSON-RPC method of the process at IP:port. Errors: no answer, or the process refused. Thread safe.
absl::StatusOr<nlohmann::json> callProcess(const std::string& address, const std::string& method, const nlohmann::json& parameters);

/// The process's metrics in the Prometheus text format. Thread safe.
absl::StatusOr<std::string> fetchMetrics(const std::string& address);

/// What the process says of itself and of the VMs it has heard. Thread safe.
absl::StatusOr<ProcessStatus> fetchStatus(const std::string& address);

/// A document in force at the process; generation 0 when it has none. Thread safe.
absl::StatusOr<PublishedDocument> fetchDocument(const std::string& address, DocumentKind);

/// The configuration in force at the process. Errors: as above, or it has none. Thread safe.
absl::StatusOr<Configuration> fetchConfiguration(const std::string& address);

} // namespace bilberry
