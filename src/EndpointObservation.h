/// What an entry has itself seen of one endpoint: newer than any report that reaches it.
#pragma once

#include "Types.h"

namespace bilberry {

/// Load as an endpoint's process stated it in an answer.
struct LoadHint {
    uint32_t inProgress = 0;
    uint32_t limit = 0; ///< Zero: nothing was stated.
    TimePoint statedAt {};
};

struct EndpointObservation {
    uint32_t inProgress = 0; ///< This entry's own requests there.
    LoadHint statedLoad; ///< From its latest answer.
    TimePoint avoidUntil {}; ///< It refused for a reason that holds for a while, or was not reached.
    TimePoint eligibleSince {}; ///< When it last came back into the routing table.
};

} // namespace bilberry
