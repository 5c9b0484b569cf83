#include "PeerReports.h"

#include <algorithm>

namespace bilberry {

// Number of messages of each scope in which an event is passed on; more than one, since datagrams may be lost.
static constexpr int repetitions = 2;
// Time for which an event is recognized when it comes again from another peer.
static constexpr Milliseconds recognitionTime { 5000 };
// Time after which an endpoint that is still in the same state is passed on again.
static constexpr Milliseconds stateReportInterval { 1000 };
// Largest number of pieces of evidence in one datagram.
static constexpr size_t maxPartEvidence = 200;

static bool isPassedOn(ReportSource source, PeerMessageScope scope)
{
    switch (scope) {
    case PeerMessageScope::Near:
        return source != ReportSource::SameDataCentre;
    case PeerMessageScope::Remote:
        return source != ReportSource::OtherDataCentre;
    case PeerMessageScope::Introduction:
        return false;
    }
    return false;
}

void PeerReports::addCrash(const CrashReport& crash, ReportSource source, TimePoint now)
{
    this->crashes.push_back({ crash, source, now });
}

bool PeerReports::addNotice(const EngineNotice& notice, ReportSource source, TimePoint now)
{
    auto isOfEngine = [&](const Row<EngineNotice>& row) { return row.event.address == notice.address; };
    auto known = std::find_if(this->notices.begin(), this->notices.end(), isOfEngine);
    if (known == this->notices.end()) {
        this->notices.push_back({ notice, source, now });
        return true;
    }
    // An agent repeats a notice with a higher sequence; only the first one with that content is passed on.
    bool isNew = notice.sequence > known->event.sequence && (notice.version != known->event.version || notice.unusableVersion != known->event.unusableVersion);
    if (isNew)
        *known = { notice, source, now };
    return isNew;
}

// Adds an endpoint's hash unless it is in the list. Returns whether it was added.
static bool addEndpointHash(std::vector<PeerReports::Row<uint32_t>>& rows, uint32_t endpointHash, ReportSource source, TimePoint now)
{
    auto isEndpoint = [&](const PeerReports::Row<uint32_t>& row) { return row.event == endpointHash; };
    if (std::any_of(rows.begin(), rows.end(), isEndpoint))
        return false;
    rows.push_back({ endpointHash, source, now });
    return true;
}

bool PeerReports::addSwitchingEngine(uint32_t endpointHash, ReportSource source, TimePoint now)
{
    return addEndpointHash(this->switchingEngines, endpointHash, source, now);
}

bool PeerReports::addLeavingEndpoint(uint32_t runHash, ReportSource source, TimePoint now)
{
    return addEndpointHash(this->leavingEndpoints, runHash, source, now);
}

bool PeerReports::addSlowEndpoint(uint32_t endpointHash, ReportSource source, TimePoint now)
{
    return addEndpointHash(this->slowEndpoints, endpointHash, source, now);
}

bool PeerReports::addPartEvidence(const PartEvidence& evidence, ReportSource source, TimePoint now)
{
    auto isSame = [&](const Row<PartEvidence>& row) { return row.event.part == evidence.part && row.event.crashedEndpoint == evidence.crashedEndpoint && row.event.clearance == evidence.clearance; };
    if (std::any_of(this->partEvidence.begin(), this->partEvidence.end(), isSame))
        return false;
    this->partEvidence.push_back({ evidence, source, now });
    return true;
}

template <typename Event>
static void takeEvents(std::vector<PeerReports::Row<Event>>& rows, PeerMessageScope scope, std::vector<Event>& events, size_t maxCount = SIZE_MAX)
{
    for (auto& row : rows) {
        int& count = scope == PeerMessageScope::Near ? row.nearCount : row.remoteCount;
        if (!isPassedOn(row.source, scope) || count >= repetitions || events.size() >= maxCount)
            continue;
        ++count;
        events.push_back(row.event);
    }
}

void PeerReports::fillMessage(PeerMessage& message, PeerMessageScope scope)
{
    takeEvents(this->crashes, scope, message.crashes);
    takeEvents(this->notices, scope, message.notices);
    takeEvents(this->switchingEngines, scope, message.switchingEngines);
}

EndpointEvents PeerReports::takeEndpointEvents(PeerMessageScope scope)
{
    EndpointEvents events;
    takeEvents(this->partEvidence, scope, events.partEvidence, maxPartEvidence);
    takeEvents(this->leavingEndpoints, scope, events.leavingEndpoints);
    takeEvents(this->slowEndpoints, scope, events.slowEndpoints);
    return events;
}

template <typename Event>
static void removeRows(std::vector<PeerReports::Row<Event>>& rows, Milliseconds keptFor, TimePoint now)
{
    auto isOld = [&](const PeerReports::Row<Event>& row) { return now - row.addedAt >= keptFor; };
    rows.erase(std::remove_if(rows.begin(), rows.end(), isOld), rows.end());
}

void PeerReports::removeExpired(TimePoint now)
{
    removeRows(this->crashes, recognitionTime, now);
    removeRows(this->notices, recognitionTime, now);
    removeRows(this->switchingEngines, stateReportInterval, now);
    removeRows(this->partEvidence, recognitionTime, now);
    removeRows(this->leavingEndpoints, recognitionTime, now);
    removeRows(this->slowEndpoints, stateReportInterval, now);
}

} // namespace bilberry
