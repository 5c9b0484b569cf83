#include "Admission.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

static constexpr double failureFactor = 0.75;
static constexpr double latencyFactor = 0.9;
// Weight of one request in the moving averages.
static constexpr double averageWeight = 0.1;
// How fast the base of the first byte's time follows slower answers.
static constexpr double baseDrift = 0.005;
// A first byte is late when it takes this many times the base, and this much longer.
static constexpr double lateFactor = 4;
static constexpr double lateSeconds = 0.05;
static constexpr Milliseconds reductionInterval { 200 };
// The back end's report of being warm is not believed for so long after it refused.
static constexpr Milliseconds coldHold { 1000 };
static constexpr double fastGrowthShare = 0.5;

AdmissionState makeAdmission(AdmissionBounds bounds)
{
    AdmissionState state;
    state.bounds = bounds;
    state.limit = bounds.cold;
    return state;
}

static void clampLimit(AdmissionState& state)
{
    double cold = state.bounds.cold;
    double highest = state.isCold ? cold : std::max(cold, static_cast<double>(state.bounds.warm));
    state.limit = std::clamp(state.limit, cold, highest);
}

void changeBounds(AdmissionState& state, AdmissionBounds bounds)
{
    state.bounds = bounds;
    clampLimit(state);
}

static void dropToCold(AdmissionState& state, TimePoint now)
{
    state.isCold = true;
    state.refusedAt = now;
    state.knownGood = 0;
    clampLimit(state);
}

void reportCold(AdmissionState& state, bool isCold, TimePoint now)
{
    if (isCold) {
        state.isCold = true;
        clampLimit(state);
    } else if (now - state.refusedAt >= coldHold) {
        state.isCold = false;
    }
}

AdmissionTicket tryAdmit(AdmissionState& state)
{
    auto limit = static_cast<uint32_t>(state.limit);
    if (state.inProgress >= limit)
        return {};
    ++state.inProgress;
    return { true, state.inProgress == limit };
}

static void average(double& mean, Duration sample)
{
    double seconds = std::chrono::duration<double>(sample).count();
    if (seconds > 0)
        mean = mean == 0 ? seconds : mean + averageWeight * (seconds - mean);
}

static void learnHead(AdmissionState& state, Duration headTime)
{
    double seconds = std::chrono::duration<double>(headTime).count();
    if (seconds <= 0)
        return;
    bool isFaster = state.baseHead == 0 || seconds < state.baseHead;
    state.baseHead = isFaster ? seconds : state.baseHead + baseDrift * (seconds - state.baseHead);
    average(state.meanHead, headTime);
}

static bool isHeadLate(const AdmissionState& state)
{
    return state.meanHead > state.baseHead * lateFactor && state.meanHead > state.baseHead + lateSeconds;
}

static void reduce(AdmissionState& state, double factor, TimePoint now)
{
    if (now - state.reducedAt < reductionInterval)
        return;
    state.reducedAt = now;
    state.knownGood = state.limit;
    state.limit *= factor;
}

static void grow(AdmissionState& state)
{
    double known = state.knownGood > 0 ? state.knownGood : state.bounds.warm;
    bool isFast = state.limit < known * fastGrowthShare;
    state.limit += isFast ? 1 : 1 / state.limit;
}

void completeRequest(AdmissionState& state, CompletionReport report, TimePoint now)
{
    assert(state.inProgress > 0);
    --state.inProgress;
    if (report.isRefusal) {
        dropToCold(state, now);
        return;
    }
    learnHead(state, report.headTime);
    average(state.meanService, report.serviceTime);
    if (report.isFailure)
        reduce(state, failureFactor, now);
    else if (report.wasAtLimit && isHeadLate(state))
        reduce(state, latencyFactor, now);
    else if (report.wasAtLimit && !state.isCold)
        grow(state);
    clampLimit(state);
}

Duration estimateWait(const AdmissionState& state, size_t ahead)
{
    double rounds = static_cast<double>(ahead + 1) / state.limit;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(rounds * state.meanService));
}

} // namespace bilberry
