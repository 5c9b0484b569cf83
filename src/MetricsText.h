/// Parses metrics in the Prometheus text format, as the system's own processes serve them.
#pragma once

#include "Metrics.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// One sample line of a metrics page.
struct MetricSample {
    std::string name;
    MetricLabels labels;
    double value = 0;
};

/// Returns the samples in their order and skips comments. The error names the first unreadable line. Thread safe.
absl::StatusOr<std::vector<MetricSample>> parseMetricsText(std::string_view text);

/// Returns the value of a label, or an empty string when there is none. Thread safe.
std::string findLabel(const MetricLabels&, const std::string& name);

} // namespace bilberry
