/// The endpoint's own limit of requests at its back end. Pure decisions; the caller serializes access.
#pragma once

#include "Types.h"

namespace bilberry {

/// Wait in an endpoint's queue where nothing else was asked for, and the longest that can be asked for.
constexpr Milliseconds defaultQueueWait { 500 };
constexpr Milliseconds maxQueueWait { 5000 };

/// Bounds that the inventory gives for one back end.
struct AdmissionBounds {
    uint32_t coldLimit = 1; ///< Requests that it bears in cold start.
    uint32_t maxLimit = 8; ///< Requests that it bears at most.
};

struct AdmissionState {
    AdmissionBounds bounds;
    double limit = 1; ///< Requests admitted at a time, rounded down.
    uint32_t inProgress = 0;
    bool isCold = true;
    TimePoint lastRefusalAt {}; ///< When the back end last refused.
    TimePoint lastReductionAt {};
    double limitBeforeReduction = 0; ///< Limit before the last reduction; growth is fast up to half of it.
    double baselineFirstByteSeconds = 0; ///< Time to the first byte without a queue at the back end, in seconds; zero: not known.
    double meanFirstByteSeconds = 0; ///< Moving average of it, in seconds.
    double meanServiceSeconds = 0; ///< Moving average of the time at the back end, in seconds.
};

/// What an admitted request was told: whether the limit was in use.
struct AdmissionResult {
    bool isAdmitted = false;
    bool wasAtLimit = false; ///< It took the last place.
};

/// What one completed request told of the back end.
struct CompletionReport {
    bool isFailure = false; ///< The back end broke.
    bool isRefusal = false; ///< The back end refused because it had too much: it is cold, or as good as.
    bool wasAtLimit = false; ///< See AdmissionTicket.
    Duration timeToFirstByte { 0 }; ///< Until the first byte; zero: not known.
    Duration serviceTime { 0 }; ///< Until the last byte; zero: not known.
};

/// Starts at the cold limit. Precondition: 1 <= cold <= warm.
AdmissionState makeAdmissionState(AdmissionBounds);

/// Takes over other bounds; requests in progress stay counted.
void setAdmissionBounds(AdmissionState&, AdmissionBounds);

/// Takes over the back end's own word on cold start. Turning cold drops the limit at once; its word that it is warm
/// lags, so it counts only some time after the back end's last refusal.
void updateColdState(AdmissionState&, bool isCold, TimePoint now);

/// Whether one more request may go to the back end; counts it when so.
AdmissionResult tryAdmit(AdmissionState&);

/// Takes a request out of the count and adapts the limit. A refusal drops it to the cold limit; a failure, or a first
/// byte much later than without load, reduces it, at most once in a while; a good answer to a request that was at the
/// limit raises it: by one up to half of what was good before, then by one for each limit's worth. A limit that is
/// not used does not grow. Precondition: the request was admitted.
void completeRequest(AdmissionState&, CompletionReport, TimePoint now);

/// Time that a request would wait behind `ahead` others. Thread safe on an unchanging state.
Duration estimateQueueWait(const AdmissionState&, size_t ahead);

} // namespace bilberry
