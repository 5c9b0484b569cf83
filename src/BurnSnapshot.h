/// Snapshots of the service-level counters of several processes, and the increase of the counters between two snapshots.
#pragma once

#include "MetricsText.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace bilberry {

/// The counters of one process.
struct ProcessCounters {
    std::string vm;
    std::string dataCentre;
    uint64_t incarnation = 0; ///< The start of the process in Unix milliseconds, when its counters were zero.
    std::vector<MetricSample> samples;
};

/// The counters of all processes that answered.
struct BurnSnapshot {
    WallTime takenAt;
    std::vector<ProcessCounters> processes;
};

/// Selects the samples that the burn report reads. Thread safe.
std::vector<MetricSample> selectBurnSamples(const std::vector<MetricSample>&);

/// Computes the increase of each counter from `earlier` to `later`; gauges keep their later value. A process that started in
/// between counts from zero. A process that ran before but is missing in `earlier` loses its counters, since their increase is
/// unknown. Thread safe.
BurnSnapshot subtractSnapshot(const BurnSnapshot& later, const BurnSnapshot& earlier);

/// Writes a snapshot as the JSON text of a snapshot file. Thread safe.
std::string encodeSnapshot(const BurnSnapshot&);
/// Reads the text of a snapshot file. The error says what is malformed or missing. Thread safe.
absl::StatusOr<BurnSnapshot> decodeSnapshot(std::string_view text);

} // namespace bilberry
