/// A rate over about the last second.
#pragma once

#include "Types.h"

namespace bilberry {

/// Amount per second. What was added earlier counts half as much with each second. Used by one thread at a time.
struct DecayingRate {
    double perSecond = 0; ///< As of `updatedAt`.
    TimePoint updatedAt {};
};

/// Adds an amount at once.
void addToRate(DecayingRate&, double amount, TimePoint now);
/// Returns the rate per second. Thread safe while it doesn't change.
double rateAt(const DecayingRate&, TimePoint now);

} // namespace bilberry
