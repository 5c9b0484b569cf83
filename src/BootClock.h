/// The clock for the age of the cluster view. Unlike the steady clock it includes the time in which the VM was suspended, so
/// a view that went stale during a suspension isn't taken for a recent one.
#pragma once

#include "Types.h"

namespace bilberry {

/// A monotonic clock (CLOCK_BOOTTIME), usable with std::chrono.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    /// Returns the time since the VM started. Thread safe.
    static time_point now();
};

using BootTimePoint = BootClock::time_point;

} // namespace bilberry
