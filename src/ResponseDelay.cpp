#include "ResponseDelay.h"

#include <algorithm>

namespace bilberry {

// Age up to which a request counts.
static constexpr Milliseconds maxSampleAge { 3000 };
// Largest number of requests that are remembered for an endpoint.
static constexpr size_t maxSamples = 32;
// Delay that is assumed of an endpoint to which no request was sent lately.
static constexpr Milliseconds assumedDelay { 500 };
// Delay from which an endpoint counts as slow, and for how long a peer's report of that applies.
static constexpr Milliseconds slowDelay { 1000 };
static constexpr Milliseconds slowReportTime { 2000 };

static Milliseconds elapsed(TimePoint from, TimePoint now)
{
    return std::chrono::duration_cast<Milliseconds>(now - from);
}

void recordSend(ResponseDelay& delay, TimePoint now)
{
    delay.waitingSince.push_back(now);
}

void recordResponseBegin(ResponseDelay& delay, TimePoint sentAt, TimePoint now)
{
    auto waiting = std::find(delay.waitingSince.begin(), delay.waitingSince.end(), sentAt);
    if (waiting == delay.waitingSince.end())
        return;
    delay.waitingSince.erase(waiting);
    delay.samples.push_back({ now, elapsed(sentAt, now) });
    while (delay.samples.size() > maxSamples || now - delay.samples.front().endedAt > maxSampleAge)
        delay.samples.pop_front();
}

void recordReportedSlow(ResponseDelay& delay, TimePoint now)
{
    delay.reportedSlowUntil = std::max(delay.reportedSlowUntil, now + slowReportTime);
}

// The longest delay that this entry has seen itself; negative when no request was sent lately.
static Milliseconds longestSeen(const ResponseDelay& delay, TimePoint now)
{
    Milliseconds longest { -1 };
    for (const auto& sample : delay.samples) {
        if (now - sample.endedAt <= maxSampleAge)
            longest = std::max(longest, sample.delay);
    }
    for (auto sentAt : delay.waitingSince)
        longest = std::max(longest, elapsed(sentAt, now));
    return longest;
}

Milliseconds longestDelay(const ResponseDelay& delay, TimePoint now)
{
    auto longest = longestSeen(delay, now);
    if (longest < Milliseconds(0))
        longest = assumedDelay;
    return now < delay.reportedSlowUntil ? std::max(longest, slowDelay) : longest;
}

bool isSlow(const ResponseDelay& delay, TimePoint now)
{
    return longestSeen(delay, now) >= slowDelay;
}

} // namespace bilberry
