/// Admission control of one endpoint: an adaptive limit on the concurrent requests at its back end, which protects a
/// back end that is in cold start, slow or failing from overload. The functions do no I/O and take no locks; the code
/// that uses a state must serialize access to it.
#pragma once

#include "Types.h"

namespace bilberry {

/// Maximum time in an endpoint's queue for a request that states none.
constexpr Milliseconds defaultQueueWait { 500 };
/// Largest maximum time in an endpoint's queue that a request may state.
constexpr Milliseconds maxRequestedQueueWait { 5000 };

/// Concurrency bounds that the inventory sets for one back end.
struct AdmissionBounds {
    uint32_t coldLimit = 1; ///< Maximum concurrent requests during cold start.
    uint32_t maxLimit = 8; ///< Maximum concurrent requests at any time.
};

struct AdmissionState {
    AdmissionBounds bounds;
    double limit = 1; ///< Current limit of concurrent requests; rounded down when it is applied.
    uint32_t inProgress = 0;
    bool isCold = true; ///< Whether the back end is in cold start, as set by updateColdState() and by refusals.
    TimePoint lastRefusalAt {}; ///< When the back end last refused a request.
    TimePoint lastReductionAt {};
    double limitBeforeReduction = 0; ///< Limit before the last reduction; the limit grows fast up to half of it. Zero: not known.
    double baselineFirstByteSeconds = 0; ///< Time to first byte without a queue at the back end, in seconds; zero: not known.
    double meanFirstByteSeconds = 0; ///< Moving average of the time to first byte, in seconds.
    double meanServiceSeconds = 0; ///< Moving average of the time that a request spends at the back end, in seconds.
};

/// Result of tryAdmit().
struct AdmissionResult {
    bool isAdmitted = false;
    bool wasAtLimit = false; ///< The request took the last free slot under the limit.
};

/// Outcome of one completed request, from which the limit is adapted.
struct CompletionReport {
    bool isFailure = false; ///< The back end failed.
    bool isRefusal = false; ///< The back end refused because of overload, so it is treated as cold.
    bool wasAtLimit = false; ///< Copy of AdmissionResult::wasAtLimit.
    Duration timeToFirstByte { 0 }; ///< Time until the first byte of the response; zero: not known.
    Duration serviceTime { 0 }; ///< Time until the last byte of the response; zero: not known.
};

/// Makes a state whose limit starts at the cold limit. Precondition: 1 <= coldLimit <= maxLimit.
AdmissionState makeAdmissionState(AdmissionBounds);

/// Replaces the bounds; requests in progress stay counted. Precondition: 1 <= coldLimit <= maxLimit.
void setAdmissionBounds(AdmissionState&, AdmissionBounds);

/// Updates the cold state from the back end's own report. Becoming cold lowers the limit at once. A report of being warm
/// may be out of date, so it is ignored for some time after the back end's last refusal.
void updateColdState(AdmissionState&, bool isCold, TimePoint now);

/// Admits one more request to the back end if the limit allows it, and then counts it as in progress.
AdmissionResult tryAdmit(AdmissionState&);

/// Removes a request from the count and adapts the limit. A refusal drops the limit to the cold limit. A failure, or a time
/// to first byte far above the baseline, reduces it, at most once per interval. A successful request that was admitted at
/// the limit raises it: by one up to half of the limit before the last reduction, and above that by one per as many
/// requests as the limit allows. A limit that is not reached does not grow. Precondition: the request was admitted.
void completeRequest(AdmissionState&, CompletionReport, TimePoint now);

/// Estimates how long a request would wait behind `requestsAhead` others. Zero until the mean service time is
/// known. Thread safe while the state does not change.
Duration estimateQueueWait(const AdmissionState&, size_t requestsAhead);

} // namespace bilberry
