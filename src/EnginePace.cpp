#include "EnginePace.h"

#include <algorithm>
#include <cmath>

namespace bilberry {

// Part of the current pass that remains, on average, when a request arrives.
static constexpr double remainingPassShare = 0.5;

static FractionalMilliseconds prefillTime(const EnginePerformance& engine, double tokens)
{
    double tokensPerMillisecond = std::max(engine.prefillTokensPerSecond / 1000, 1e-3);
    return FractionalMilliseconds(tokens / tokensPerMillisecond);
}

// By how much each running request makes a pass longer.
static FractionalMilliseconds passTimePerRequest(const EnginePerformance& engine)
{
    // A request that has written its answer is replaced by another one, whose prompt is prefilled.
    double joinsPerPass = engine.tokensPerEvent / std::max<double>(engine.typicalAnswerTokens, engine.tokensPerEvent);
    return engine.stepTimePerRequest * engine.tokensPerEvent + joinsPerPass * prefillTime(engine, engine.typicalPromptTokens);
}

FractionalMilliseconds passTime(const EnginePerformance& engine, double running)
{
    return engine.stepTime * engine.tokensPerEvent + running * passTimePerRequest(engine);
}

FractionalMilliseconds timeToFirstEvent(const EnginePerformance& engine, uint32_t promptTokens, double running, double workTime)
{
    auto wait = running > 0 ? remainingPassShare * passTime(engine, running) : FractionalMilliseconds(0);
    return workTime * (wait + prefillTime(engine, promptTokens) + passTime(engine, running + 1));
}

double requestsKeepingPace(const EnginePerformance& engine, Milliseconds maxEventGap, double workTime)
{
    if (maxEventGap <= Milliseconds(0))
        return engine.slots;
    // Two prompts may come in one pass.
    auto fixedTime = passTime(engine, 0) + prefillTime(engine, engine.typicalPromptTokens);
    auto perRequest = std::max(passTimePerRequest(engine), FractionalMilliseconds(1e-3));
    double count = std::floor((FractionalMilliseconds(maxEventGap) / workTime - fixedTime) / perRequest);
    return std::clamp<double>(count, 1, std::max(engine.slots, 1U));
}

} // namespace bilberry
