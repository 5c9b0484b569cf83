/// What the process itself uses.
#pragma once

namespace bilberry {

class Metrics;

/// Sets the gauges of processor time and memory. Thread safe.
void updateProcessMetrics(Metrics&);

} // namespace bilberry
