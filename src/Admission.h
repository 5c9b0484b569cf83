/// The endpoint's own limit of requests at its back end. Pure decisions; the caller serializes access.
#pragma once

#include "Types.h"

namespace bilberry {

/// Bounds that the inventory gives for one back end.
struct AdmissionBounds {
    uint32_t cold = 1; ///< Requests that it bears in cold start.
    uint32_t warm = 8; ///< Requests that it bears at most.
};

struct AdmissionState {
    AdmissionBounds bounds;
    double limit = 1; ///< Requests admitted at a time, rounded down.
    uint32_t inProgress = 0;
    bool isCold = true;
};

/// What one completed request told of the back end.
struct CompletionReport {
    bool isFailure = false; ///< The back end refused or broke.
    bool wasAtLimit = false; ///< The limit was in use when it was admitted.
};

/// Starts at the cold limit. Precondition: 1 <= cold <= warm.
AdmissionState makeAdmission(AdmissionBounds);

/// Takes over the back end's own word on cold start; turning cold drops the limit at once.
void reportCold(AdmissionState&, bool isCold);

/// Whether one more request may go to the back end; counts it when so.
bool tryAdmit(AdmissionState&);

/// Takes a request out of the count and adapts the limit: grows by one for each limit's worth of good completions at
/// the limit, falls to three quarters after a failure. Precondition: the request was admitted.
void completeRequest(AdmissionState&, CompletionReport);

} // namespace bilberry
