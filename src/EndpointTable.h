/// The endpoints that an entry knows, with its own evidence of each.
#pragma once

#include "CrashHistory.h"
#include "EndpointRecord.h"
#include "ProtocolAdapter.h"
#include "Types.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// One endpoint. A row stays in place as long as requests are at the endpoint, also when it is no longer listed.
struct EndpointRow {
    EndpointRecord record;
    bool isListed = false;
    TimePoint listedUntil = TimePoint::max(); ///< For one whose entry has lapsed, perhaps only for a while.
    TimePoint coldUntil {};
    TimePoint peerLoadUnknownUntil {}; ///< Up to then other entries' requests at it aren't known: each sends only its share.
    uint32_t inFlight = 0; ///< Own requests that it has.
    uint32_t peersInFlight = 0; ///< Those of the other entries, by what they say.
    bool arePeerLoadsCurrent = false; ///< Whether all of them have said so lately.
    uint32_t reportedOthersInFlight = 0; ///< Those of other entries, by the endpoint's newest statement.
    TimePoint loadReportedAt {}; ///< When that statement came.
    int consecutiveFailures = 0; ///< Attempts that it failed since the last good answer.
    TimePoint avoidUntil {};
    TimePoint weightSwitchUntil {}; ///< Its engine is taking in other weights, at the longest until then.
    uint64_t noticeSequence = 0; ///< Of the newest notice of the agent beside it.
    LossRecord losses;
    std::deque<TimePoint> coldSends; ///< Requests of the last second while it is cold, oldest first.
};

/// Used by the loop's thread only.
struct EndpointTable {
    std::vector<EndpointRow> rows;
    std::unordered_map<std::string, uint32_t> rowById;

    /// Takes in a record; returns its row.
    uint32_t upsert(const EndpointRecord&, TimePoint now);
    /// The endpoint is not listed any more from `until` on. Does nothing for an unknown one.
    void remove(const std::string& id, TimePoint until);
    /// Frees rows of endpoints that are gone and have no request; returns their ids. To be called each tick.
    std::vector<std::string> removeUnusedRows(TimePoint now);
};

/// Notes that the endpoint can be used from now on, after it could not.
void noteNewlyUsable(EndpointRow&, TimePoint now);
/// How long an endpoint that failed several times in a row is avoided, by the number of failures. Thread safe.
Milliseconds avoidTimeAfterFailures(int failuresInRow);
/// Takes in the outcome of an attempt as evidence. `isGood`: it answered as it should.
void noteOutcome(EndpointRow&, bool isGood, TimePoint now);
/// Takes in a statement of load.
void noteLoadReport(EndpointRow&, const LoadReport&, TimePoint now);
/// Requests that the endpoint is thought to have, from all entries: by what these say, and by the endpoint's own statements
/// where some of them are not heard. Statements fade with their age. Thread safe.
double estimatedLoad(const EndpointRow&, TimePoint now);

} // namespace bilberry
