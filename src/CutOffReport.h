/// Counts the connections that were cut off to bound what callers hold, and logs them at a bounded rate.
#pragma once

#include "ConnectionMemory.h"

#include <array>

namespace bilberry {

class EventLog;
class Metrics;

/// Used by the loop's thread only.
class CutOffReport {
public:
    /// Preconditions: metrics and log outlive the object.
    CutOffReport(Metrics&, EventLog&);
    /// Counts one connection that was cut off, and writes at most one line a second for each cause.
    void note(CutOffCause, size_t heldBytes, TimePoint now);

private:
    struct Unlogged {
        uint64_t count = 0; ///< Connections since the last line.
        TimePoint loggedAt {};
    };

    Metrics& metrics;
    EventLog& log;
    std::array<Unlogged, cutOffCauseCount> unlogged {};
};

} // namespace bilberry
