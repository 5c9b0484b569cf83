#include "Admission.h"

#include <algorithm>
#include <cassert>

namespace bilberry {

static constexpr double failureFactor = 0.75;

AdmissionState makeAdmission(AdmissionBounds bounds)
{
    AdmissionState state;
    state.bounds = bounds;
    state.limit = bounds.cold;
    return state;
}

void reportCold(AdmissionState& state, bool isCold)
{
    state.isCold = isCold;
    if (isCold)
        state.limit = state.bounds.cold;
}

bool tryAdmit(AdmissionState& state)
{
    if (state.inProgress >= static_cast<uint32_t>(state.limit))
        return false;
    ++state.inProgress;
    return true;
}

void completeRequest(AdmissionState& state, CompletionReport report)
{
    assert(state.inProgress > 0);
    --state.inProgress;
    if (report.isFailure)
        state.limit *= failureFactor;
    else if (!state.isCold)
        state.limit += 1 / state.limit;
    state.limit = std::clamp(state.limit, static_cast<double>(state.bounds.cold), static_cast<double>(state.isCold ? state.bounds.cold : state.bounds.warm));
}

} // namespace bilberry
