/// Metrics of the process's own resource use.
#pragma once

namespace bilberry {

class Metrics;

/// Sets the gauges of CPU time and resident memory. Thread safe.
void updateProcessMetrics(Metrics&);

} // namespace bilberry
