#include "DecayingRate.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

// Time after which an amount counts half as much.
static constexpr std::chrono::duration<double> halfLife { 1 };

double rateAt(const DecayingRate& rate, TimePoint now)
{
    auto elapsed = std::max(now - rate.updatedAt, Duration(0));
    return rate.perSecond * std::exp2(-(elapsed / halfLife));
}

void addToRate(DecayingRate& rate, double amount, TimePoint now)
{
    // With this factor, a steady flow of amounts yields its own rate.
    static const double perAmount = std::log(2.0) / halfLife.count();
    rate.perSecond = rateAt(rate, now) + amount * perAmount;
    rate.updatedAt = std::max(rate.updatedAt, now);
}

} // namespace bilberry
