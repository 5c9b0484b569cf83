/// The part of EndpointChoice.h that tells why an endpoint may not get a request.

#include "EndpointChoice.h"

#include <algorithm>

namespace bilberry {

static bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string regionOf(const NodeLocation& location, const std::string& dataCentre)
{
    auto found = location.regionByDataCentre.find(dataCentre);
    return found == location.regionByDataCentre.end() ? std::string() : found->second;
}

static bool isRegionAllowed(const std::vector<std::string>* regions, const std::string& region)
{
    return !regions || regions->empty() || contains(*regions, region);
}

// Whether a cold endpoint may get one more request without exceeding `rate`, in requests per second over the last second.
// Endpoints that aren't cold, and a rate of zero, have no limit.
static bool isWithinColdRate(const EndpointRow& row, double rate, TimePoint now)
{
    if (rate <= 0 || now >= row.coldUntil)
        return true;
    auto isRecent = [&](TimePoint at) { return now - at < Seconds(1); };
    auto recent = std::count_if(row.coldSends.begin(), row.coldSends.end(), isRecent);
    return static_cast<double>(recent + 1) <= rate;
}

std::string_view toText(Exclusion exclusion)
{
    switch (exclusion) {
    case Exclusion::None:
        return "none";
    case Exclusion::NotListed:
        return "not_listed";
    case Exclusion::Draining:
        return "draining";
    case Exclusion::DataCentreOut:
        return "data_centre_out";
    case Exclusion::RegionNotAllowed:
        return "region_not_allowed";
    case Exclusion::NoWeights:
        return "no_weights";
    case Exclusion::SupersededWeights:
        return "superseded_weights";
    case Exclusion::Failing:
        return "failing";
    case Exclusion::SetAside:
        return "set_aside";
    case Exclusion::Switching:
        return "switching";
    case Exclusion::Withheld:
        return "withheld";
    case Exclusion::Tried:
        return "tried";
    case Exclusion::Cold:
        return "cold";
    }
    return "none";
}

// Why an engine's weights don't allow the request; Exclusion::None if they do.
static Exclusion weightExclusion(const EndpointRow& row, const EndpointRequirements& requirements, TimePoint now)
{
    uint32_t version = servedVersion(row.record, requirements.model, requirements.modelLayers);
    if (version == 0)
        return Exclusion::NoWeights;
    if (version < requirements.minWeightVersion)
        return Exclusion::SupersededWeights;
    bool isSuperseded = requirements.namedVersions && supersededAt(*requirements.namedVersions, version) != BootTimePoint::max();
    bool canBegin = !isSuperseded || canBeginInTime(*requirements.namedVersions, version, requirements.maxVersionSwitchTime, longestDelay(row.responseDelay, now), requirements.bootNow, supersededUse(requirements.sharesEngines));
    return canBegin ? Exclusion::None : Exclusion::SupersededWeights;
}

// Why the endpoint may not run such requests, whatever it has stated about itself and however it has answered lately.
static Exclusion serviceExclusion(const EndpointRow& row, const EndpointRequirements& requirements, const NodeLocation& location, const std::set<std::string>& evacuatedDataCentres, TimePoint now)
{
    const auto& record = row.record;
    if (!row.isListed || now >= row.listedUntil || now < row.heldUntil || record.service != requirements.service)
        return Exclusion::NotListed;
    if (record.isDraining)
        return Exclusion::Draining;
    if (evacuatedDataCentres.count(record.dataCentre) != 0)
        return Exclusion::DataCentreOut;
    auto region = regionOf(location, record.dataCentre);
    if (!isRegionAllowed(requirements.routeRegions, region) || !isRegionAllowed(requirements.accountRegions, region))
        return Exclusion::RegionNotAllowed;
    return record.isModelEngine ? weightExclusion(row, requirements, now) : Exclusion::None;
}

Exclusion exclusionOf(const EndpointRow& row, const EndpointRequirements& requirements, const NodeLocation& location, const std::set<std::string>& evacuatedDataCentres, TimePoint now)
{
    if (now < row.avoidUntil)
        return Exclusion::Failing;
    if (isSetAside(row.statement, now))
        return Exclusion::SetAside;
    if (row.record.isModelEngine && now < row.weightSwitchUntil)
        return Exclusion::Switching;
    if (row.record.isModelEngine && isWithheld(row.withholding, row.record, now))
        return Exclusion::Withheld;
    auto exclusion = serviceExclusion(row, requirements, location, evacuatedDataCentres, now);
    if (exclusion != Exclusion::None)
        return exclusion;
    if (contains(requirements.triedEndpointIds, row.record.id))
        return Exclusion::Tried;
    return isWithinColdRate(row, requirements.maxColdRate, now) ? Exclusion::None : Exclusion::Cold;
}

bool isEligible(const EndpointRow& row, const EndpointRequirements& requirements, const NodeLocation& location, const std::set<std::string>& evacuatedDataCentres, TimePoint now)
{
    return exclusionOf(row, requirements, location, evacuatedDataCentres, now) == Exclusion::None;
}

std::optional<TimePoint> allSetAsideUntil(const EndpointTable& table, const EndpointRequirements& requirements, const NodeLocation& location, const std::set<std::string>& evacuatedDataCentres, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const auto& row : table.rows) {
        if (serviceExclusion(row, requirements, location, evacuatedDataCentres, now) != Exclusion::None)
            continue;
        if (isSetAside(row.statement, now)) {
            auto until = row.statement.isLeaving ? TimePoint::max() : row.statement.noRequestsUntil;
            earliest = std::min(until, earliest.value_or(TimePoint::max()));
        } else if (!contains(requirements.triedEndpointIds, row.record.id)) {
            return std::nullopt;
        }
    }
    return earliest;
}

} // namespace bilberry
