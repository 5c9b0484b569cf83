#include "Admission.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

static constexpr double failureReductionFactor = 0.75;
static constexpr double latencyReductionFactor = 0.9;
// Weight of one request in the moving averages.
static constexpr double movingAverageWeight = 0.1;
// Share of the difference by which the baseline of the time to first byte moves towards a slower response.
static constexpr double baselineDriftRate = 0.005;
// The first byte is slow when its mean time exceeds both slowFirstByteFactor times the baseline and the baseline plus
// slowFirstByteSeconds.
static constexpr double slowFirstByteFactor = 4;
static constexpr double slowFirstByteSeconds = 0.05;
static constexpr Milliseconds minReductionInterval { 200 };
// A report that the back end is warm is ignored for this time after the back end refused a request.
static constexpr Milliseconds coldStateHoldTime { 1000 };
// Share of the limit before the last reduction up to which the limit grows by one per successful request.
static constexpr double fastGrowthShare = 0.5;

AdmissionState makeAdmissionState(AdmissionBounds bounds)
{
    AdmissionState state;
    state.bounds = bounds;
    state.limit = bounds.coldLimit;
    return state;
}

static void clampLimit(AdmissionState& state)
{
    double cold = state.bounds.coldLimit;
    double highest = state.isCold ? cold : std::max(cold, static_cast<double>(state.bounds.maxLimit));
    state.limit = std::clamp(state.limit, cold, highest);
}

void setAdmissionBounds(AdmissionState& state, AdmissionBounds bounds)
{
    state.bounds = bounds;
    clampLimit(state);
}

static void dropToColdLimit(AdmissionState& state, TimePoint now)
{
    state.isCold = true;
    state.lastRefusalAt = now;
    state.limitBeforeReduction = 0;
    clampLimit(state);
}

void updateColdState(AdmissionState& state, bool isCold, TimePoint now)
{
    if (isCold) {
        state.isCold = true;
        clampLimit(state);
    } else if (now - state.lastRefusalAt >= coldStateHoldTime) {
        state.isCold = false;
    }
}

AdmissionResult tryAdmit(AdmissionState& state)
{
    auto limit = static_cast<uint32_t>(state.limit);
    if (state.inProgress >= limit)
        return {};
    ++state.inProgress;
    return { true, state.inProgress == limit };
}

static void updateMovingAverage(double& mean, Duration sample)
{
    double seconds = std::chrono::duration<double>(sample).count();
    if (seconds > 0)
        mean = mean == 0 ? seconds : mean + movingAverageWeight * (seconds - mean);
}

static void recordTimeToFirstByte(AdmissionState& state, Duration timeToFirstByte)
{
    double seconds = std::chrono::duration<double>(timeToFirstByte).count();
    if (seconds <= 0)
        return;
    bool isFaster = state.baselineFirstByteSeconds == 0 || seconds < state.baselineFirstByteSeconds;
    state.baselineFirstByteSeconds = isFaster ? seconds : state.baselineFirstByteSeconds + baselineDriftRate * (seconds - state.baselineFirstByteSeconds);
    updateMovingAverage(state.meanFirstByteSeconds, timeToFirstByte);
}

static bool isFirstByteSlow(const AdmissionState& state)
{
    return state.meanFirstByteSeconds > state.baselineFirstByteSeconds * slowFirstByteFactor && state.meanFirstByteSeconds > state.baselineFirstByteSeconds + slowFirstByteSeconds;
}

static void reduceLimit(AdmissionState& state, double factor, TimePoint now)
{
    if (now - state.lastReductionAt < minReductionInterval)
        return;
    state.lastReductionAt = now;
    state.limitBeforeReduction = state.limit;
    state.limit *= factor;
}

static void raiseLimit(AdmissionState& state)
{
    double previousLimit = state.limitBeforeReduction > 0 ? state.limitBeforeReduction : state.bounds.maxLimit;
    bool isFast = state.limit < previousLimit * fastGrowthShare;
    state.limit += isFast ? 1 : 1 / state.limit;
}

void completeRequest(AdmissionState& state, CompletionReport report, TimePoint now)
{
    assert(state.inProgress > 0);
    --state.inProgress;
    if (report.isRefusal) {
        dropToColdLimit(state, now);
        return;
    }
    recordTimeToFirstByte(state, report.timeToFirstByte);
    updateMovingAverage(state.meanServiceSeconds, report.serviceTime);
    if (report.isFailure)
        reduceLimit(state, failureReductionFactor, now);
    else if (report.wasAtLimit && isFirstByteSlow(state))
        reduceLimit(state, latencyReductionFactor, now);
    else if (report.wasAtLimit && !state.isCold)
        raiseLimit(state);
    clampLimit(state);
}

Duration estimateQueueWait(const AdmissionState& state, size_t requestsAhead)
{
    double rounds = static_cast<double>(requestsAhead + 1) / state.limit;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(rounds * state.meanServiceSeconds));
}

} // namespace bilberry
