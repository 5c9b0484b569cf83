/// The endpoints that an entry knows, with what it has observed of each: requests in flight, reported load, failures and
/// losses. The choice of an endpoint is made from this table.
#pragma once

#include "BootClock.h"
#include "CrashHistory.h"
#include "DemandReport.h"
#include "EndpointRecord.h"
#include "EndpointStatement.h"
#include "EngineShare.h"
#include "PeerMessage.h"
#include "ProtocolAdapter.h"
#include "ResponseDelay.h"
#include "Types.h"
#include "Withholding.h"
#include "WorkRate.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

struct ServiceSettings;

/// One endpoint. A row keeps its index as long as the endpoint has requests in flight, even when it is no longer listed.
struct EndpointRow {
    EndpointRecord record;
    bool isListed = false;
    /// When the endpoint stops counting as listed, after its record was removed from the store. The record may be gone
    /// only briefly.
    TimePoint listedUntil = TimePoint::max();
    TimePoint heldUntil {}; ///< Until when the endpoint isn't used because an earlier era of the store showed that it leaves.
    bool isWrittenInEra = false; ///< Whether a change of the store's current era brought the record, not a listing.
    TimePoint coldUntil {}; ///< Until when the endpoint is cold.
    /// Until when the other entries' requests at the endpoint aren't known. Until then, this entry uses only its share of
    /// the slots, as each entry does.
    TimePoint peerLoadUnknownUntil {};
    uint32_t inFlight = 0; ///< The number of this entry's requests at the endpoint.
    uint32_t peersInFlight = 0; ///< The number of the other entries' requests, as these entries report it.
    /// By how much the endpoint's last load report exceeded the requests that this entry knew of then; negative if it was lower.
    int unknownInFlight = 0;
    TimePoint loadReportedAt {}; ///< When that load report was received.
    TimePoint lastHeardAt {}; ///< When the endpoint last sent bytes of an answer.
    int consecutiveFailures = 0; ///< The number of failed attempts since the last good answer.
    TimePoint avoidUntil {}; ///< Until when the endpoint is avoided after consecutive failures.
    TimePoint weightSwitchUntil {}; ///< The latest end of a version switch that is in progress at the engine, by its own answers.
    BootTimePoint switchPlannedAt = BootTimePoint::max(); ///< When its agent is expected to order a switch (see SwitchDrain.h); max(): none is planned.
    Withholding withholding; ///< What the agent on the same VM has asked for.
    EndpointStatement statement; ///< What the endpoint has stated about itself in its answers.
    LossRecord losses;
    ResponseDelay responseDelay;
    EngineShare share; ///< The part that this entry has in the engine; unused for plain services.
    WorkRate workRate; ///< Its speed of work, if it states that.
    std::deque<TimePoint> coldSends; ///< When requests were sent to it in the last second while it was cold, oldest first.
};

/// The statement of an endpoint without a row. The endpoint may be listed again by an older copy of the store.
struct UnlistedStatement {
    EndpointStatement statement;
    TimePoint expiresAt {};
};

/// An endpoint that no longer is set aside by its own statement.
struct SetAsideEnd {
    std::string endpointId;
    SetAsideReason reason = SetAsideReason::Leaving;
};

/// Used by the loop's thread only.
struct EndpointTable {
    std::vector<EndpointRow> rows; ///< A row whose record has an empty id is free.
    std::unordered_map<std::string, uint32_t> rowById; ///< The index in `rows`; the key is the endpoint's id.
    std::unordered_map<std::string, UnlistedStatement> unlistedStatements; ///< Kept for a limited time; the key is the endpoint's id.
    /// By address, the last notice on each engine whether its layers may be used. It outlives the row, and may come before it.
    std::unordered_map<std::string, EngineNotice> layerNotices;
    std::vector<SetAsideEnd> setAsideEnds; ///< Those that takeSetAsideEnds() hasn't returned yet.

    /// Adds or updates the row of a record; returns the index of the row.
    uint32_t upsert(const EndpointRecord&, TimePoint now);
    /// Ends the listing of an endpoint at `until`. Does nothing for an unknown endpoint.
    void remove(const std::string& id, TimePoint until);
    /// Frees the rows of endpoints that are no longer listed and have no request in flight; returns their ids. Is to be
    /// called on each tick.
    std::vector<std::string> removeUnusedRows(TimePoint now);
    /// Returns the statement of an endpoint, with or without a row. It may be changed until the table changes.
    EndpointStatement& statementOf(const std::string& id, TimePoint now);
    /// Returns the endpoints that have ceased to be set aside since the last call. Is to be called on each tick.
    std::vector<SetAsideEnd> takeSetAsideEnds(TimePoint now);
};

/// Records a notice for rows that are listed later. One of a version switch isn't kept.
void keepLayerNotice(EndpointTable&, const EngineNotice&);
/// Returns some of the notices that layers aren't to be used. Thread safe.
std::vector<EngineNotice> noticesOfUnusableLayers(const EndpointTable&, size_t maxCount);
/// Records that the endpoint has become usable at `now`, so that the other entries' requests at it aren't known for a
/// while.
void markPeerLoadUnknown(EndpointRow&, TimePoint now);
/// Returns for how long an endpoint is avoided after that many consecutive failures. Thread safe.
Milliseconds avoidTimeAfterFailures(int consecutiveFailures);
/// Updates the failure count from the outcome of an attempt. `isSuccess` tells whether the endpoint answered as it should.
void noteOutcome(EndpointRow&, bool isSuccess, TimePoint now);
/// Records a load report of the endpoint.
void noteLoadReport(EndpointRow&, const LoadReport&, TimePoint now);
/// Records that the endpoint refused a request because it is switching to other weights.
void noteSwitching(EndpointRow&, TimePoint now);
/// Estimates the number of requests of all entries at the endpoint: those that the entries report, corrected by what the
/// endpoint's own last load report stated beyond them. The weight of the correction falls with its age. Thread safe.
double estimatedLoad(const EndpointRow&, TimePoint now);
/// Whether the endpoint has stated its load so recently that estimatedLoad() counts requests of entries that aren't heard.
/// Thread safe.
bool hasStatedLoad(const EndpointRow&, TimePoint now);
/// As the functions of WorkRate.h; the endpoint's answer to a request of this entry may be awaited. Thread safe.
bool isWorkTimeKnown(const EndpointRow&, TimePoint now);
double meanWorkTime(const EndpointRow&, TimePoint now);
double currentWorkTime(const EndpointRow&, TimePoint now);
/// Returns the work times that endpoints have lately stated to this entry and that its peers haven't been told, the newest ones up
/// to a fixed number. They count as told afterwards.
std::vector<WorkTimeReport> takeWorkTimes(EndpointTable&, TimePoint now);
/// Records work times that a peer reports, where this entry knows no newer ones.
void applyWorkTimes(EndpointTable&, const std::vector<WorkTimeReport>&, TimePoint now);
/// Whether any endpoint of the service has lately stated its work time. Thread safe.
bool statesWorkTimes(const EndpointTable&, const std::string& service, TimePoint now);
/// Whether any listed endpoint of the service has stated its work time, however long ago. Thread safe.
bool hasStatedWorkTimes(const EndpointTable&, const std::string& service);
/// Whether entries divide the engines of a service among themselves: routes of different priority share it, or its engines have stated
/// their work times. Thread safe.
bool sharesEngines(const ServiceSettings&, const EndpointTable&);
/// Returns the median work time of a service's endpoints, expected over the next second; 1 where none is stated. Thread safe.
double typicalWorkTime(const EndpointTable&, const std::string& service, TimePoint now);
/// Returns the number of endpoints whose work takes noticeably longer than usual, by their own statements. Thread safe.
size_t countSlowByStatement(const EndpointTable&, TimePoint now);

} // namespace bilberry
