#include "DataCentreDistance.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

// Age up to which exchanges are used. Connections are kept, so that there are few, and the way between data centres seldom changes.
static constexpr Seconds exchangeAge { 60 };
// Time without a tick after which the process counts as paused.
static constexpr Milliseconds pauseDuration { 300 };
// Bounds of what is held: exchanges with a data centre, and data centres.
static constexpr size_t maxExchanges = 32;
static constexpr size_t maxDataCentres = 64;

static bool isPauseOver(const DataCentreDistances& distances, TimePoint now)
{
    return distances.tickedAt != TimePoint() && now - distances.tickedAt > pauseDuration;
}

void noteTick(DataCentreDistances& distances, TimePoint now)
{
    if (isPauseOver(distances, now)) {
        distances.awakeSince = now;
        distances.exchanges.clear();
    }
    distances.tickedAt = now;
}

void noteExchange(DataCentreDistances& distances, const std::string& dataCentre, TimePoint startedAt, TimePoint endedAt)
{
    assert(startedAt <= endedAt);
    bool hasRoom = distances.exchanges.size() < maxDataCentres || distances.exchanges.count(dataCentre) != 0;
    // An exchange may end before the first tick after a pause.
    if (!hasRoom || startedAt < distances.awakeSince || isPauseOver(distances, endedAt))
        return;
    auto& samples = distances.exchanges[dataCentre];
    samples.push_back({ endedAt, endedAt - startedAt });
    if (samples.size() > maxExchanges)
        samples.pop_front();
}

static std::optional<FractionalMilliseconds> shortestExchange(const DataCentreDistances& distances, const std::string& dataCentre, TimePoint now)
{
    std::optional<FractionalMilliseconds> shortest;
    auto found = distances.exchanges.find(dataCentre);
    if (found == distances.exchanges.end())
        return shortest;
    for (const auto& sample : found->second) {
        if (now - sample.endedAt < exchangeAge)
            shortest = std::min(sample.duration, shortest.value_or(sample.duration));
    }
    return shortest;
}

std::optional<FractionalMilliseconds> roundTripTo(const DataCentreDistances& distances, const std::string& own, const std::string& other, TimePoint now)
{
    auto near = shortestExchange(distances, own, now);
    auto far = shortestExchange(distances, other, now);
    if (!near || !far)
        return std::nullopt;
    return std::max(*far - *near, FractionalMilliseconds(0));
}

} // namespace bilberry
