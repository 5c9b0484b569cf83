/// Reading of metrics in the Prometheus text format, as the system's own processes serve them.
#pragma once

#include "Metrics.h"

#include <absl/status/statusor.h>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// One line of a metrics page.
struct MetricSample {
    std::string name;
    MetricLabels labels;
    double value = 0;
};

/// The samples in their order; comments are passed over. The error names the first unreadable line. Thread safe.
absl::StatusOr<std::vector<MetricSample>> parseMetricsText(std::string_view text);

/// Value of a label; empty when there is none. Thread safe.
std::string findLabel(const MetricLabels&, const std::string& name);

} // namespace bilberry
