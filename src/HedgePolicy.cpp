#include "HedgePolicy.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace bilberry {

// An answer is late once it has taken longer than this share of the recent answers, and this many times their median: where
// answers vary little, the slowest of the usual ones aren't worth the limited number of second attempts.
static constexpr double usualShare = 0.95;
static constexpr double lateFactor = 2.5;
// Fewest recent answers from which a delay is judged.
static constexpr size_t minDelays = 32;
// A request isn't hedged sooner than this, so that ordinary variation of fast answers costs no work.
static constexpr Milliseconds minWait { 40 };
// Load of a service, as a share of what its endpoints can take, from which no request is hedged.
static constexpr double maxServiceLoad = 0.75;
// Load from which an endpoint gets no second attempt.
static constexpr double maxEndpointLoad = 0.7;

void recordAnswerDelay(AnswerDelays& answers, Milliseconds delay)
{
    answers.delays[answers.count % AnswerDelays::capacity] = delay;
    ++answers.count;
}

std::optional<Milliseconds> delayOfShare(const AnswerDelays& answers, double share)
{
    assert(share >= 0 && share <= 1);
    size_t known = std::min(answers.count, AnswerDelays::capacity);
    if (known < minDelays)
        return std::nullopt;
    std::vector<Milliseconds> sorted(answers.delays.begin(), answers.delays.begin() + static_cast<ptrdiff_t>(known));
    auto position = sorted.begin() + static_cast<ptrdiff_t>(std::floor(share * static_cast<double>(known - 1)));
    std::nth_element(sorted.begin(), position, sorted.end());
    return *position;
}

// The delay from which an answer counts as late.
static Milliseconds usualDelay(const AnswerDelays& answers, Milliseconds median)
{
    Milliseconds manyMedians(static_cast<int64_t>(lateFactor * static_cast<double>(median.count())));
    return std::max(*delayOfShare(answers, usualShare), manyMedians);
}

bool shouldHedge(const HedgeContext& context, const HedgeLimits& limits, const AnswerDelays& answers)
{
    // 1. Another run must be harmless, and the service must have room for it.
    bool mayRunAgain = limits.share > 0 && context.isRepeatable && context.runs < context.maxRuns;
    if (!mayRunAgain || !context.isQueueEmpty || context.loadShare > maxServiceLoad || context.waited < minWait)
        return false;
    // 2. The answer must be late.
    auto median = delayOfShare(answers, 0.5);
    if (!median || context.waited <= usualDelay(answers, *median))
        return false;
    // 3. What has taken long is expected to take as long again, so a new attempt is sooner if it usually takes less than that.
    return *median < context.waited && *median < context.timeLeft;
}

double maxLoadOfSecondEndpoint()
{
    return maxEndpointLoad;
}

} // namespace bilberry
