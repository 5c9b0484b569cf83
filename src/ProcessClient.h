/// Calls that the operators' command line makes to the system's processes. Every call goes through one function, which
/// does what all of them need, such as signing the request.
#pragma once

#include "PublishedState.h"
#include "StatusReport.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace bilberry {

/// Calls a JSON-RPC method of the process at IP:port. Errors: the process did not answer or refused the call.
/// Thread safe.
absl::StatusOr<nlohmann::json> callProcess(const std::string& address, const std::string& method, const nlohmann::json& parameters);

/// Fetches a page of the process. Errors: NotFound and InvalidArgument with the process's explanation, Unavailable if it didn't
/// answer. Thread safe.
absl::StatusOr<std::string> fetchPage(const std::string& address, const std::string& target);

/// Fetches the process's metrics in the Prometheus text format. Thread safe.
absl::StatusOr<std::string> fetchMetrics(const std::string& address);

/// Fetches the status that the process reports for itself and for the VMs it has heard from. Thread safe.
absl::StatusOr<ProcessStatus> fetchStatus(const std::string& address);

/// Fetches the document that is in force at the process; its generation is 0 when the process has none. Thread safe.
absl::StatusOr<PublishedDocument> fetchDocument(const std::string& address, DocumentKind);

/// Fetches the configuration that is in force at the process. Errors: those of callProcess(), or the process has none, or
/// it can't be parsed. Thread safe.
absl::StatusOr<Configuration> fetchConfiguration(const std::string& address);

} // namespace bilberry
