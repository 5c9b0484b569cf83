/// Which endpoint gets a request. Pure decisions on an immutable table; Router.h keeps the table current.
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

/// How near an endpoint is to the entry.
enum class Locality : uint8_t { SameDataCentre = 0,
    SameRegion = 1,
    OtherRegion = 2 };
constexpr size_t localityCount = 3;

/// One endpoint as an entry sees it; a hint that ages.
struct RoutingRow {
    RowIndex vm = noRow;
    RowIndex service = noRow;
    Locality locality = Locality::OtherRegion;
    bool hasFreshReport = false; ///< Heard of within the lifetime of a report.
    LoadHint reportedLoad;
    uint32_t slot = 0; ///< Its row in the table of evidence.
    std::vector<RowIndex> models; ///< Served, by read-back.
};

/// The endpoints that can serve one target, by nearness, as positions in the table's rows.
struct RoutingGroup {
    RowIndex service = noRow;
    RowIndex model = noRow; ///< noRow for plain services.
    std::array<std::vector<uint32_t>, localityCount> rows;
};

struct RoutingTable {
    ConfigurationPointer configuration;
    std::vector<RoutingRow> rows; ///< Endpoints that may get new work.
    std::vector<RoutingGroup> groups;
    std::vector<uint32_t> slots; ///< Row in the table of evidence, by VM.
    TimePoint typicalReportAt {}; ///< Only a quarter of the rows has a fresher report.
};

/// What a request needs.
struct RoutingTarget {
    RowIndex service = noRow;
    RowIndex model = noRow; ///< noRow for plain services.
    uint64_t prefixHash = 0; ///< Of the prompt's start; zero: no endpoint is preferred.
};

/// An endpoint that was chosen.
struct RoutingChoice {
    RowIndex vm = noRow; ///< noRow when there is none.
    bool hasCapacity = false; ///< As far as is known; without room there, none was known elsewhere either.
};

/// Time over which an endpoint that came back is brought up to its full share.
constexpr Milliseconds rampUpDuration { 10'000 };
/// Age at which a statement of load says nothing any more.
constexpr Milliseconds loadHintLifetime { 2000 };

/// Makes the table: leaves out endpoints of data centres that are out, and those that are leaving by the
/// configuration, the live list or their own report. Slots are the VMs' own rows. Thread safe.
RoutingTable makeRoutingTable(ConfigurationPointer, const LiveList*, const std::vector<FleetRow>&, RowIndex ownDataCentre, TimePoint now);

/// Share of its capacity that an endpoint may get, between 0 and 1: grows evenly over rampDuration. Thread safe.
double rampUpShare(TimePoint eligibleSince, TimePoint now);

/// Requests per unit of capacity: the entry's own, and those of others by the newest statement, which fades with its
/// age. 1 and more means no room. Thread safe.
double computeLoad(const RoutingRow&, const EndpointObservation&, TimePoint now);

/// Chooses the less loaded of two candidates of the nearest group that has room; one of the two is the endpoint
/// preferred for the target's prefix, which is kept while its load is within a bound of the other's. Without room
/// anywhere, the nearest candidate. Endpoints to be avoided, or not heard of, come last and only when nothing was
/// tried yet. `evidence` is indexed by slot; `excluded` are VMs that were tried. The work does not grow with the fleet,
/// unless nearly all are excluded or avoided. Thread safe.
RoutingChoice chooseEndpoint(const RoutingTable&, const RoutingTarget&, const std::vector<EndpointObservation>& evidence, const std::vector<RowIndex>& excluded, uint64_t random, TimePoint now);

/// Whether nothing was heard of an endpoint since `heardAt` for so much longer than is usual that it may be frozen or cut
/// off. An entry that was paused itself hears late of all alike. Thread safe.
bool isSilent(TimePoint heardAt, TimePoint usualReportAt, TimePoint now);

/// Endpoints in the table that can serve the target. Thread safe.
size_t countEndpoints(const RoutingTable&, const RoutingTarget&);

/// How long an endpoint is avoided after it refused for that reason; zero: not at all. Thread safe.
Milliseconds avoidanceDuration(RefusalReason);

} // namespace bilberry
