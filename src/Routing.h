/// Chooses the endpoint for a request by locality, load and prompt prefix, with load data that may be out of date. The
/// functions do no I/O and use an immutable table; Router.h keeps the table current.
#pragma once

#include "Configuration.h"
#include "EndpointObservation.h"
#include "FleetTable.h"
#include "LiveList.h"
#include "Refusal.h"
#include "Types.h"

#include <array>
#include <string>
#include <vector>

namespace bilberry {

/// Locality of an endpoint, as seen from the entry.
enum class Locality : uint8_t { SameDataCentre = 0,
    SameRegion = 1,
    OtherRegion = 2 };
constexpr size_t localityCount = 3;

/// One endpoint as an entry sees it. The data is a hint and becomes stale.
struct RoutingRow {
    RowIndex vm = noRow;
    RowIndex service = noRow;
    Locality locality = Locality::OtherRegion;
    bool hasFreshReport = false; ///< Whether the last report was received within the lifetime of a report.
    StatedLoad reportedLoad;
    uint32_t observationIndex = 0; ///< Index of the endpoint in the table of observations.
    std::vector<RowIndex> models; ///< Models that the endpoint's own report lists as served.
};

/// The endpoints that can serve one target, by locality, as positions in RoutingTable::rows.
struct RoutingGroup {
    RowIndex service = noRow;
    RowIndex model = noRow; ///< noRow for plain services.
    std::array<std::vector<uint32_t>, localityCount> rows;
};

struct RoutingTable {
    ConfigurationPointer configuration;
    std::vector<RoutingRow> rows; ///< Endpoints that may receive new requests.
    std::vector<RoutingGroup> groups;
    std::vector<uint32_t> observationIndexes; ///< Index in the table of observations; the index here is the VM's row.
    TimePoint typicalReportAt {}; ///< Time of a typical report: only a quarter of the rows has a newer one.
};

/// The service and model that a request needs.
struct RoutingTarget {
    RowIndex service = noRow;
    RowIndex model = noRow; ///< noRow for plain services.
    uint64_t prefixHash = 0; ///< Hash of the start of the prompt; zero: no endpoint is preferred.
};

/// Result of the choice of an endpoint.
struct RoutingChoice {
    RowIndex vm = noRow; ///< noRow when there is none.
    bool hasCapacity = false; ///< Whether the endpoint is thought to have free capacity. If not, no other one was thought to.
};

/// Time over which an endpoint that returns to service is ramped up to its full share of requests.
constexpr Milliseconds rampUpDuration { 10'000 };
/// Age from which on a load hint has no weight.
constexpr Milliseconds loadHintLifetime { 2000 };

/// Builds the table without the endpoints of data centres that are out of service, and without those that are leaving
/// according to the configuration, the live list or their own report. Each VM's observation index is initially its row in
/// the inventory; Router replaces it. Thread safe.
RoutingTable makeRoutingTable(ConfigurationPointer, const LiveList*, const std::vector<FleetRow>&, RowIndex ownDataCentre, TimePoint now);

/// Share of its capacity that an endpoint may get, between 0.1 and 1. It grows linearly over rampUpDuration. Thread safe.
double rampUpShare(TimePoint eligibleSince, TimePoint now);

/// Requests per unit of capacity: the entry's own, plus those of other entries according to the newest load hint, weighted
/// down with the hint's age. 1 or more means that no capacity is free. Thread safe.
double computeLoad(const RoutingRow&, const EndpointObservation&, TimePoint now);

/// Chooses the less loaded of two random candidates (power of two choices) in the nearest locality that has free
/// capacity. If the target has a prefix, one of the two is the endpoint preferred for it, which is kept while its load
/// is within a tolerance of the other's. Without free capacity anywhere, chooses the nearest candidate, and then endpoints
/// that are avoided only because they weren't ready are candidates, too. Other endpoints that are avoided, and those that
/// have no fresh report, come last, and only when nothing was tried yet. `observations` is indexed by
/// RoutingRow::observationIndex; `excluded` holds the VMs that were tried. The cost does not grow with the fleet, unless
/// nearly all endpoints are excluded or avoided. Thread safe.
RoutingChoice chooseEndpoint(const RoutingTable&, const RoutingTarget&, const std::vector<EndpointObservation>& observations, const std::vector<RowIndex>& excluded, uint64_t random, TimePoint now);

/// Whether the last message of an endpoint, at `lastHeardAt`, is so much older than the typical report that the endpoint may
/// be frozen or unreachable. An entry that was paused itself has equally old reports of all endpoints, so it
/// considers none of them silent. Thread safe.
bool isSilent(TimePoint lastHeardAt, TimePoint typicalReportAt, TimePoint now);

/// Number of endpoints in the table that can serve the target. Thread safe.
size_t countEndpoints(const RoutingTable&, const RoutingTarget&);

/// How long an endpoint is avoided after it refused for that reason; zero: not at all. Thread safe.
Milliseconds avoidanceDuration(RefusalReason);

} // namespace bilberry
