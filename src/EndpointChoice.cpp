#include "EndpointChoice.h"

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <xxhash.h>

namespace bilberry {

// Share of an engine's or a plain service's slots that may be given to it at a time.
static constexpr double engineConcurrencyPerSlot = 1.0;
static constexpr double plainConcurrencyPerSlot = 2.0;
// Load, as a share of the places, by which a farther endpoint must be less loaded to be chosen.
static constexpr double sameRegionPenalty = 0.10;
static constexpr double otherRegionPenalty = 0.25;
// Endpoints of one distance that are compared.
static constexpr size_t sampledEndpointsPerDistance = 2;

double concurrencyLimit(const EndpointRecord& record)
{
    return record.slots * (record.isModelEngine ? engineConcurrencyPerSlot : plainConcurrencyPerSlot);
}

static bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

static std::string regionOfDataCentre(const NodeLocation& place, const std::string& dataCentre)
{
    auto found = place.regionByDataCentre.find(dataCentre);
    return found == place.regionByDataCentre.end() ? std::string() : found->second;
}

static bool isRegionAllowed(const std::vector<std::string>* regions, const std::string& region)
{
    return !regions || regions->empty() || contains(*regions, region);
}

// Requests sent in the last second to a cold endpoint, one more included, stay within the rate that it bears.
static bool isWithinColdRate(const EndpointRow& row, double rate, TimePoint now)
{
    if (rate <= 0 || now >= row.coldUntil)
        return true;
    auto isRecent = [&](TimePoint at) { return now - at < Seconds(1); };
    auto recent = std::count_if(row.coldSends.begin(), row.coldSends.end(), isRecent);
    return static_cast<double>(recent + 1) <= rate;
}

bool isEligible(const EndpointRow& row, const EndpointRequirements& need, const NodeLocation& place, const std::set<std::string>& dataCentresOut, TimePoint now)
{
    const auto& record = row.record;
    bool isInService = row.isListed && now < row.listedUntil && !record.isDraining && record.service == need.service;
    if (!isInService || now < row.avoidUntil || dataCentresOut.count(record.dataCentre) != 0)
        return false;
    auto region = regionOfDataCentre(place, record.dataCentre);
    if (!isRegionAllowed(need.routeRegions, region) || !isRegionAllowed(need.accountRegions, region))
        return false;
    if (contains(need.triedEndpointIds, record.id) || !isWithinColdRate(row, need.maxColdRate, now))
        return false;
    if (!record.isModelEngine)
        return true;
    if (now < row.weightSwitchUntil)
        return false;
    uint32_t version = servedVersion(record, need.model, need.modelLayers);
    return version != 0 && version >= need.minWeightVersion;
}

// Distance of an endpoint, from zero on, and the penalty for it.
static size_t distanceTo(const EndpointRecord& record, const NodeLocation& place)
{
    if (record.dataCentre == place.dataCentre)
        return 0;
    return regionOfDataCentre(place, record.dataCentre) == regionOfDataCentre(place, place.dataCentre) ? 1 : 2;
}

static constexpr std::array<double, 3> distancePenalties { 0, sameRegionPenalty, otherRegionPenalty };

// An endpoint with a free place.
struct Candidate {
    uint32_t row = noEndpoint;
    double score = 0; ///< Load, as a share of its places, and the penalty for its distance.
};

// The best of some candidates taken at random, without replacement.
static Candidate bestOfRandomSample(std::vector<Candidate>& candidates, std::minstd_rand& random)
{
    Candidate best;
    size_t taken = std::min(sampledEndpointsPerDistance, candidates.size());
    for (size_t i = 0; i < taken; ++i) {
        std::uniform_int_distribution<size_t> position(i, candidates.size() - 1);
        std::swap(candidates[i], candidates[position(random)]);
        if (best.row == noEndpoint || candidates[i].score < best.score)
            best = candidates[i];
    }
    return best;
}

// While nothing is known of what others send to an engine, all together must not send more than it has places.
static bool isWithinEntryShare(const EndpointRow& row, double places, const EndpointRequirements& need, TimePoint now)
{
    if (now >= row.peerLoadUnknownUntil || !row.record.isModelEngine)
        return true;
    double share = places / std::max(need.entryCount, 1U);
    if (share >= 1)
        return row.inFlight + 1 <= share;
    // Of more entries than places, some send one.
    auto pair = std::to_string(need.entryHash) + row.record.id;
    auto fraction = static_cast<double>(XXH64(pair.data(), pair.size(), 0) >> 11) / static_cast<double>(1ULL << 53);
    return row.inFlight == 0 && fraction < share;
}

EndpointChoice chooseEndpoint(const EndpointTable& table, const EndpointRequirements& need, const NodeLocation& place, const std::set<std::string>& dataCentresOut, uint64_t random, TimePoint now)
{
    EndpointChoice choice;
    std::array<std::vector<Candidate>, distancePenalties.size()> candidates;
    // 1. All that have a free place, by distance.
    for (uint32_t i = 0; i < table.rows.size(); ++i) {
        const auto& row = table.rows[i];
        if (!isEligible(row, need, place, dataCentresOut, now))
            continue;
        choice.hasEligible = true;
        double places = concurrencyLimit(row.record);
        double load = estimatedLoad(row, now);
        if (load + 1 > places || !isWithinEntryShare(row, places, need, now))
            continue;
        ++choice.availableCount;
        size_t distance = distanceTo(row.record, place);
        candidates[distance].push_back({ i, load / places + distancePenalties[distance] });
    }
    // 2. The best of a few of each distance.
    std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(random));
    Candidate best;
    for (auto& near : candidates) {
        auto found = bestOfRandomSample(near, generator);
        if (found.row != noEndpoint && (best.row == noEndpoint || found.score < best.score))
            best = found;
    }
    choice.row = best.row;
    return choice;
}

} // namespace bilberry
