/// Events that an entry passes on to its peers in a few messages: crashes of endpoints, notices of agents, engines that refused
/// a request because of a version switch, and the events about endpoints of EndpointEvents.h. Each event is passed on once by each entry that learns of it, within its
/// data centre or to the others, so that it reaches all entries and ends. Holds state only.
#pragma once

#include "EndpointEvents.h"
#include "PeerSchedule.h"
#include "Types.h"

#include <vector>

namespace bilberry {

/// From whom an entry learned of an event.
enum class ReportSource : uint8_t {
    Own, ///< From an endpoint or an agent.
    SameDataCentre, ///< From a peer of the same data centre; it is passed on to others only.
    OtherDataCentre, ///< From a peer of another data centre; it is passed on within the own one only.
};

/// Used by one thread at a time.
struct PeerReports {
    /// An event, and in how many messages of each scope it was passed on.
    template <typename Event>
    struct Row {
        Event event;
        ReportSource source = ReportSource::Own;
        TimePoint addedAt {};
        int nearCount = 0;
        int remoteCount = 0;
    };

    std::vector<Row<CrashReport>> crashes;
    std::vector<Row<EngineNotice>> notices;
    std::vector<Row<uint32_t>> switchingEngines; ///< Hashes of endpoints' ids.
    std::vector<Row<PartEvidence>> partEvidence;
    std::vector<Row<uint32_t>> leavingEndpoints; ///< Hashes of endpoints' runs.
    std::vector<Row<uint32_t>> slowEndpoints; ///< Hashes of endpoints' ids.

    /// Adds a crash that wasn't known before.
    void addCrash(const CrashReport&, ReportSource, TimePoint now);
    /// Adds a notice, unless it or a later one of that engine was added before. Returns whether it was added.
    bool addNotice(const EngineNotice&, ReportSource, TimePoint now);
    /// Adds an engine, unless it was added a short time ago. Returns whether it was added.
    bool addSwitchingEngine(uint32_t endpointHash, ReportSource, TimePoint now);
    /// Adds evidence about a part, unless the same was added a short time ago. Returns whether it was added.
    bool addPartEvidence(const PartEvidence&, ReportSource, TimePoint now);
    /// Adds an endpoint that leaves, unless it was added a short time ago. Returns whether it was added.
    bool addLeavingEndpoint(uint32_t runHash, ReportSource, TimePoint now);
    /// Adds an endpoint that requests reach late, unless it was added a short time ago. Returns whether it was added.
    bool addSlowEndpoint(uint32_t endpointHash, ReportSource, TimePoint now);
    /// Puts the events that a message of that scope passes on into it.
    void fillMessage(PeerMessage&, PeerMessageScope);
    /// Returns the events about endpoints that are passed on along with a message of that scope, without the data centre.
    EndpointEvents takeEndpointEvents(PeerMessageScope);
    /// Removes events that are no longer needed, neither for messages nor to recognize them. Is to be called on each tick.
    void removeExpired(TimePoint now);
};

} // namespace bilberry
