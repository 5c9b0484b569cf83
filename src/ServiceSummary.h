/// The summary of a service that an entry sends to the weights agents of that service, so that these need no calls to the
/// platform's store: the model, the origin of its weights, the named versions, and the engines.
#pragma once

#include "Address.h"
#include "BootClock.h"
#include "EntryConfiguration.h"
#include "Types.h"

#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

struct ClusterView;
struct EndpointTable;

/// A named version: a version of the weights that operators have ordered to be served.
struct SummaryVersion {
    uint32_t version = 0;
    Milliseconds knownFor { 0 }; ///< The longest time for which it may have been named, as far as the entry knows.
    bool isAssumed = false; ///< Whether the entry only assumes that (see ClusterView::assumedNamings).
};

/// An engine of the service.
struct ServiceEngine {
    std::string host; ///< IP address of its VM.
    std::string dataCentre;
    uint32_t version = 0; ///< The version that it has loaded completely; zero if there is none.
    /// Whether it drains, by its record in the store. Only set where entries divide the engines among themselves.
    bool isLeaving = false;
};

struct ServiceSummary {
    Milliseconds age { 0 }; ///< The age of the entry's cluster view.
    std::string dataCentre; ///< The data centre of the entry.
    std::vector<std::string> entries; ///< IP addresses of some other entries in that data centre.
    ServedModel model;
    std::optional<Address> origin; ///< The address from which weights are fetched; absent when the configuration has none.
    std::string originDataCentre;
    std::vector<SummaryVersion> namedVersions; ///< Oldest version first.
    std::vector<ServiceEngine> engines; ///< Sorted by host; each host occurs once.
    /// Whether entries divide the engines among themselves: routes of different priority share the service, or engines have stated
    /// their work times.
    bool sharesEngines = false;
    Milliseconds heldFor { 0 }; ///< For how long the entry had held the request when it made the summary.
    /// A time by the receiver's clock before which the summary wasn't made; set by the receiver. Ages in the summary that are taken off
    /// it give times that are never too late, however long the summary was on its way.
    BootTimePoint madeAfter {};
};

/// Summarizes what the cluster view holds on a service, except for `age`, `dataCentre`, `entries`, `heldFor` and `madeAfter`. Returns std::nullopt
/// for an unknown service and for one without a model. Thread safe.
std::optional<ServiceSummary> summarizeService(const ClusterView&, const std::string& service, BootTimePoint now);

/// Lists the engines of a service as ServiceSummary::engines. `sharesEngines` is that of the summary. Thread safe.
std::vector<ServiceEngine> listServiceEngines(const EndpointTable&, const std::string& service, const ServedModel&, bool sharesEngines);

/// Returns the newest named version, or zero when there is none. Thread safe.
uint32_t newestNamedVersion(const ServiceSummary&);

/// Encodes the summary as MessagePack. Thread safe.
std::string encodeServiceSummary(const ServiceSummary&);
/// Returns InvalidArgument for bytes that aren't a summary of this layout. Thread safe.
absl::StatusOr<ServiceSummary> decodeServiceSummary(const std::string& bytes);

} // namespace bilberry
