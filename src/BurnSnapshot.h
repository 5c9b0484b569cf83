/// The counters of several processes at one moment, and what they grew by between two moments.
#pragma once

#include "MetricsText.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace bilberry {

/// One process's counters.
struct ProcessCounters {
    std::string vm;
    std::string dataCentre;
    uint64_t incarnation = 0; ///< Start of the process in Unix milliseconds; its counters began at zero then.
    std::vector<MetricSample> samples;
};

struct BurnSnapshot {
    WallTime takenAt;
    std::vector<ProcessCounters> processes;
};

/// Keeps the samples that the burn report reads. Thread safe.
std::vector<MetricSample> selectBurnSamples(const std::vector<MetricSample>&);

/// What each counter of `later` grew by since `earlier`; gauges keep their later value. A process that started
/// in between counts from zero; one that ran before without being in `earlier` is left out of the counters. Thread safe.
BurnSnapshot subtractSnapshot(const BurnSnapshot& later, const BurnSnapshot& earlier);

/// A snapshot as JSON text, to be kept in a file, and back. The error says what is unreadable. Thread safe.
std::string encodeSnapshot(const BurnSnapshot&);
absl::StatusOr<BurnSnapshot> decodeSnapshot(std::string_view text);

} // namespace bilberry
