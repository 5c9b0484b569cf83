/// Clock for the age of what is believed: unlike the steady clock it counts the time in which the VM was suspended.
#pragma once

#include "Types.h"

namespace bilberry {

/// Never set back.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    /// Time since the VM started. Thread safe.
    static time_point now();
};

using BootTimePoint = BootClock::time_point;

} // namespace bilberry
