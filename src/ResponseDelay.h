/// How long requests lately took from being sent to an endpoint until its response began. On a slow link a request may arrive
/// seconds after it was sent, and taking it back doesn't reach the endpoint sooner. So whether a request can still begin before
/// a time limit is judged before it is sent. Pure functions without I/O.
#pragma once

#include "Types.h"

#include <deque>
#include <vector>

namespace bilberry {

/// Used by one thread at a time.
struct ResponseDelay {
    /// A request that was answered or given up.
    struct Sample {
        TimePoint endedAt {};
        Milliseconds delay { 0 };
    };

    std::deque<Sample> samples; ///< The recent ones, in the order in which they ended.
    std::vector<TimePoint> waitingSince; ///< When the requests were sent whose response hasn't begun.
    TimePoint reportedSlowUntil {}; ///< Until when a peer's report that the endpoint is slow applies.
};

/// Records that a request was sent.
void recordSend(ResponseDelay&, TimePoint now);
/// Records that the response to a request that was sent at `sentAt` began, or that the request was given up or lost before. Is to
/// be called once for each request.
void recordResponseBegin(ResponseDelay&, TimePoint sentAt, TimePoint now);
/// Records that a peer has reported the endpoint as slow.
void recordReportedSlow(ResponseDelay&, TimePoint now);

/// Returns the longest delay of the recent requests, counting those that still wait with the time for which they have waited. An
/// endpoint to which no request was sent lately may be slow, so a moderate delay is assumed. Thread safe.
Milliseconds longestDelay(const ResponseDelay&, TimePoint now);
/// Whether requests reach the endpoint, or are begun there, so late that the other entries should know. Thread safe.
bool isSlow(const ResponseDelay&, TimePoint now);

} // namespace bilberry
