#include "EndpointChoice.h"

#include <algorithm>

namespace bilberry {

// Share of an engine's or a plain service's slots that may be given to it at a time.
static constexpr double engineOccupancy = 1.0;
static constexpr double plainOccupancy = 2.0;
// Load, as a share of the places, by which a farther endpoint must be less loaded to be chosen.
static constexpr double sameRegionPenalty = 0.10;
static constexpr double otherRegionPenalty = 0.25;

double placesOf(const EndpointRecord& record)
{
    return record.slots * (record.reportsModels ? engineOccupancy : plainOccupancy);
}

static bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

static std::string regionOf(const Place& place, const std::string& dataCentre)
{
    auto found = place.regionOf.find(dataCentre);
    return found == place.regionOf.end() ? std::string() : found->second;
}

static bool isAllowedIn(const std::vector<std::string>* regions, const std::string& region)
{
    return !regions || regions->empty() || contains(*regions, region);
}

// Requests sent in the last second to a cold endpoint, one more included, stay within the rate that it bears.
static bool bearsOneMore(const EndpointRow& row, double rate, TimePoint now)
{
    if (rate <= 0 || now >= row.coldUntil)
        return true;
    auto isRecent = [&](TimePoint at) { return now - at < Seconds(1); };
    auto recent = std::count_if(row.coldSends.begin(), row.coldSends.end(), isRecent);
    return static_cast<double>(recent + 1) <= rate;
}

bool isEligible(const EndpointRow& row, const EndpointNeed& need, const Place& place, const std::set<std::string>& dataCentresOut, TimePoint now)
{
    const auto& record = row.record;
    bool isInService = row.isListed && now < row.listedUntil && !record.isDraining && record.service == need.service;
    if (!isInService || now < row.avoidUntil || dataCentresOut.count(record.dataCentre) != 0)
        return false;
    auto region = regionOf(place, record.dataCentre);
    if (!isAllowedIn(need.routeRegions, region) || !isAllowedIn(need.accountRegions, region))
        return false;
    if (contains(need.tried, record.id) || !bearsOneMore(row, need.coldRate, now))
        return false;
    if (!record.reportsModels)
        return true;
    if (now < row.turnsUntil)
        return false;
    uint32_t version = servedVersion(record, need.model, need.modelLayers);
    return version != 0 && version >= need.oldestVersion;
}

static double distancePenalty(const EndpointRecord& record, const Place& place)
{
    if (record.dataCentre == place.dataCentre)
        return 0;
    return regionOf(place, record.dataCentre) == regionOf(place, place.dataCentre) ? sameRegionPenalty : otherRegionPenalty;
}

EndpointChoice chooseEndpoint(const EndpointTable& table, const EndpointNeed& need, const Place& place, const std::set<std::string>& dataCentresOut, TimePoint now)
{
    EndpointChoice choice;
    double best = 0;
    for (uint32_t i = 0; i < table.rows.size(); ++i) {
        const auto& row = table.rows[i];
        if (!isEligible(row, need, place, dataCentresOut, now))
            continue;
        choice.existsAny = true;
        double places = placesOf(row.record);
        double load = loadOf(row, now);
        if (load + 1 > places)
            continue;
        ++choice.free;
        double score = load / places + distancePenalty(row.record, place);
        if (choice.row == noEndpoint || score < best) {
            choice.row = i;
            best = score;
        }
    }
    return choice;
}

} // namespace bilberry
