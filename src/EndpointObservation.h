/// What an entry has itself observed of one endpoint. It is newer than any report that reaches the entry.
#pragma once

#include "Types.h"

namespace bilberry {

/// Load as an endpoint's process stated it in an answer.
struct StatedLoad {
    uint32_t inProgress = 0;
    uint32_t limit = 0; ///< Zero when the answer stated no load.
    TimePoint statedAt {}; ///< When the answer arrived.
};

struct EndpointObservation {
    uint32_t inProgress = 0; ///< This entry's own requests in flight.
    StatedLoad statedLoad; ///< The load that the latest answer stated.
    /// Until when the endpoint is avoided, after a refusal for a lasting reason or a failed connection.
    TimePoint avoidUntil {};
    RefusalReason avoidedFor = RefusalReason::None; ///< Why it is avoided.
    TimePoint eligibleSince {}; ///< When the endpoint last came back into the routing table.
};

} // namespace bilberry
