/// Chooses the endpoint that gets a request. The choice is designed for loads under which most endpoints are at their
/// concurrency limit: requests go to endpoints with free capacity, preferably in the entry's data centre, and wait at the
/// entry when there is none. All functions are pure.
#pragma once

#include "EndpointTable.h"
#include "Types.h"
#include "VersionSwitch.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bilberry {

/// The data centre in which a process runs, and the regions of all data centres.
struct NodeLocation {
    std::string dataCentre;
    std::map<std::string, std::string> regionByDataCentre; ///< Region of each data centre, by the data centre's name.
};

/// Returns the region of a data centre; empty if the location doesn't list it. Thread safe.
std::string regionOf(const NodeLocation&, const std::string& dataCentre);

struct DataCentreDistances;
struct EnginePerformance;

/// How fast a request must be answered, for the comparison of endpoints that state their work time (see WorkRate.h).
struct PaceRequirements {
    const EnginePerformance* engine = nullptr; ///< Performance of the service's engines; null for plain services.
    uint32_t promptTokens = 0;
    Milliseconds maxEventGap { 0 }; ///< Longest pause between events of the answer; zero: no limit.
    Milliseconds timeToTarget = Milliseconds::max(); ///< Time left until the first event is late.
    Milliseconds expectedWait = Milliseconds::max(); ///< Expected time until there is free capacity for it if it isn't sent now.
    /// Whether other data centres are weighed: requests that the other entries have probably sent to their engines are counted, and
    /// another region is used only when the own one is nearly full or slow.
    bool weighsDataCentres = false;
    const DataCentreDistances* distances = nullptr; ///< How far the data centres are, used while they are weighed; null: not known.
};

/// What a request requires of its endpoint, and how this entry shares the endpoints with others.
struct EndpointRequirements {
    std::string service;
    std::string model; ///< Name of the model; empty for plain services, which are services without a model.
    uint32_t modelLayers = 0; ///< Number of layers of the model; zero: engines hold it as a whole.
    uint32_t minWeightVersion = 0; ///< Oldest version of the weights on which the request may start; zero: any.
    const NamedVersions* namedVersions = nullptr; ///< The named versions of the model; null: none.
    Milliseconds maxVersionSwitchTime { 0 }; ///< The time within which all engines must have switched; zero: no bound.
    BootTimePoint bootNow {}; ///< The time of the choice, on the clock of the named versions.
    const std::vector<std::string>* routeRegions = nullptr; ///< Regions that the route allows; null or empty: all.
    const std::vector<std::string>* accountRegions = nullptr; ///< Regions that the client account allows; null or empty: all.
    std::vector<std::string> triedEndpointIds; ///< IDs of endpoints to which the request was sent before.
    uint32_t entryCount = 1; ///< Number of entries that share the endpoints, this one included.
    uint32_t nearEntryCount = 1; ///< Number of them in this entry's data centre, this one included.
    /// Hash that differs between entries. When there are more entries than a new engine has slots, it selects those that may
    /// use the engine.
    uint64_t entryHash = 0;
    /// Requests per second that this entry may send to a cold endpoint (see EndpointRow::coldUntil); zero: no limit.
    double maxColdRate = 0;
    /// Whether entries keep to the parts that they have in model engines (EngineShare). Otherwise each uses all free capacity.
    bool sharesEngines = false;
    Milliseconds expectedRunTime { 0 }; ///< For which it is expected to occupy an engine; zero: unknown, or not to be weighed.
    PaceRequirements pace;
};

/// Row number that stands for no endpoint.
constexpr uint32_t noEndpoint = UINT32_MAX;

/// Why a request goes to another data centre.
enum class RemoteReason : uint8_t {
    None, ///< It doesn't.
    NearFull, ///< No endpoint of the own data centre has free capacity.
    NearSlow, ///< Those with free capacity are too slow to answer on time, by their own statements.
    NearLoaded, ///< The other one has much more free capacity.
};

/// Name of the reason in metrics. Thread safe.
std::string_view toText(RemoteReason);

/// Result of a choice.
struct EndpointChoice {
    uint32_t row = noEndpoint; ///< Row of the chosen endpoint, which has free capacity; noEndpoint if there is none.
    bool hasEligible = false; ///< Whether any endpoint is eligible, with or without free capacity.
    uint32_t availableCount = 0; ///< Number of eligible endpoints with free capacity.
    RemoteReason remoteReason = RemoteReason::None;
};

/// Largest number of requests that may be in flight at the endpoint at a time. Thread safe.
double concurrencyLimit(const EndpointRecord&);
/// The same while the endpoint works at the speed that it states: as many as keep the pace, at least 1. A slow plain service gets no
/// more requests than it has slots. Thread safe.
double concurrencyLimit(const EndpointRow&, const PaceRequirements&, TimePoint now);

/// Why an endpoint can't run a request.
enum class Exclusion : uint8_t {
    None,
    NotListed, ///< It is no longer listed for the service.
    Draining,
    DataCentreOut, ///< Operators have taken its data centre out.
    RegionNotAllowed, ///< The route or the account doesn't allow its region.
    NoWeights, ///< It doesn't hold all layers of the model.
    SupersededWeights, ///< The request could begin too late on weights that a named version supersedes.
    Failing, ///< It is avoided after failed attempts.
    SetAside, ///< It has stated that it leaves or wants no requests.
    Switching, ///< It is switching to other weights.
    Withheld, ///< Its agent keeps requests away.
    Tried, ///< The request was sent to it before.
    Cold, ///< It is cold and has got as many requests in the last second as it may.
};

/// Name of the reason for operators. Thread safe.
std::string_view toText(Exclusion);

/// Returns the first reason why the endpoint can't run the request, whether or not it has free capacity. Thread safe.
Exclusion exclusionOf(const EndpointRow&, const EndpointRequirements&, const NodeLocation&, const std::set<std::string>& evacuatedDataCentres, TimePoint now);

/// Whether the endpoint could run the request if it had free capacity. Thread safe.
bool isEligible(const EndpointRow&, const EndpointRequirements&, const NodeLocation&, const std::set<std::string>& evacuatedDataCentres, TimePoint now);

/// Whether the endpoint may get one more request of this entry, by its limit, its estimated load and what the other entries may have
/// there. Thread safe.
bool hasCapacityFor(const EndpointRow&, const EndpointRequirements&, TimePoint now);

/// Returns when the first endpoint wants requests again if all that could run the request are set aside by their own statement,
/// TimePoint::max() if they leave, and nothing otherwise. Endpoints that the request has tried count only if they are set aside.
/// Thread safe.
std::optional<TimePoint> allSetAsideUntil(const EndpointTable&, const EndpointRequirements&, const NodeLocation&, const std::set<std::string>& evacuatedDataCentres, TimePoint now);

/// Draws two endpoints with free capacity at random for each distance (preferred ones of the same data centre, others there,
/// same region, other region) and chooses the one with the lowest load plus a penalty for the distance (the power of two
/// choices). Nearer ones are preferred while their load isn't much higher. Entries learn of loads with a delay: if all of
/// them took the least loaded endpoint, they would overload it. Where a data centre has many entries, each prefers some of
/// its engines, so that connections are used again before they time out, and uses only some of the engines of other regions.
///
/// Where endpoints state their work time, the expected time to the first event takes the place of the load. A slow endpoint gets
/// the request only if no other one answers earlier: none is chosen while the request would be late there, and on time after the
/// expected wait for another one. Requests go to another data centre for that only if they would be late in the own one.
/// `random` is uniform. Thread safe.
EndpointChoice chooseEndpoint(const EndpointTable&, const EndpointRequirements&, const NodeLocation&, const std::set<std::string>& evacuatedDataCentres, uint64_t random, TimePoint now);

} // namespace bilberry
