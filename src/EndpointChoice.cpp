#include "EndpointChoice.h"

#include "DataCentreDistance.h"
#include "EnginePace.h"
#include "SwitchDrain.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>
#include <xxhash.h>

namespace bilberry {

// Requests that may be in flight per slot of a model engine and of a plain service's endpoint.
static constexpr double engineConcurrencyPerSlot = 1.0;
static constexpr double plainConcurrencyPerSlot = 2.0;
// A farther endpoint is chosen only if its load, as a share of its concurrency limit, is lower by more than this.
static constexpr double otherNearPenalty = 0.08;
static constexpr double sameRegionPenalty = 0.10;
static constexpr double otherRegionPenalty = 0.25;
// Number of entries of its data centre that prefer an engine, and the least number of engines that an entry prefers.
static constexpr double entriesPerNearEngine = 4;
static constexpr size_t minNearEngines = 4;
// Number of entries of other regions that use an engine, and the least number of such engines that an entry uses.
static constexpr double entriesPerFarEngine = 6;
static constexpr size_t minFarEngines = 2;
// The same number where entries keep to their parts in the engines.
static constexpr double entriesPerSharedFarEngine = 3;
// The penalty for another region where data centres are weighed: it is used when the own engines are nearly full, since the link
// between regions is shared with all other traffic.
static constexpr double weighedOtherRegionPenalty = 0.5;
// Time that a request and its answer take to another data centre and back, beyond that within the own one, while it isn't known.
static constexpr Milliseconds remoteRoundTrip { 6 };
// Time for which a request that is sent to another data centre isn't known to the other entries.
static constexpr Milliseconds remoteLoadPropagationTime { 200 };
// The work time of an endpoint without load, as a share of what a full load adds to it, for plain services.
static constexpr double plainUnloadedShare = 1.0;
// A slow endpoint isn't compared if another one of the same distance is better by more than a full load.
static constexpr double maxScoreDifference = 1.0;
// By how much an engine that switches soon after the end of a request is preferred to others: more than a full load.
static constexpr double soonSwitchPreference = 1.0;
// Number of endpoints of each distance that are drawn at random and compared.
static constexpr size_t sampledEndpointsPerDistance = 2;

double concurrencyLimit(const EndpointRecord& record)
{
    return record.slots * (record.isModelEngine ? engineConcurrencyPerSlot : plainConcurrencyPerSlot);
}

double concurrencyLimit(const EndpointRow& row, const PaceRequirements& pace, TimePoint now)
{
    double limit = concurrencyLimit(row.record);
    double workTime = meanWorkTime(row, now);
    if (workTime <= 1)
        return limit;
    if (!row.record.isModelEngine)
        return std::max<double>(row.record.slots, limit / workTime);
    return pace.engine ? std::min(limit, requestsKeepingPace(*pace.engine, pace.maxEventGap, workTime)) : limit;
}

std::string_view toText(RemoteReason reason)
{
    switch (reason) {
    case RemoteReason::None:
        return "none";
    case RemoteReason::NearFull:
        return "near_full";
    case RemoteReason::NearSlow:
        return "near_slow";
    case RemoteReason::NearLoaded:
        return "near_loaded";
    }
    return "none";
}

// How far an endpoint is; an index of distancePenalties.
enum Distance : size_t {
    PreferredNear,
    OtherNear,
    SameRegion,
    OtherRegion,
};

static constexpr std::array<double, 4> distancePenalties { 0, otherNearPenalty, sameRegionPenalty, otherRegionPenalty };

static Distance distanceTo(const EndpointRecord& record, const NodeLocation& location)
{
    if (record.dataCentre == location.dataCentre)
        return PreferredNear;
    return regionOf(location, record.dataCentre) == regionOf(location, location.dataCentre) ? SameRegion : OtherRegion;
}

// An endpoint that may be chosen.
struct EndpointCandidate {
    uint32_t row = noEndpoint;
    double loadScore = 0; ///< Load as a share of the concurrency limit, plus the penalty for the distance.
    double score = 0; ///< The same with the expected work time: it rises with the expected time to the first event.
    bool isOnTime = true; ///< Whether that time is within the target, as far as it is known.
};

// What the candidates of one choice have in common.
struct ChoiceContext {
    double unloadedShare = plainUnloadedShare; ///< The work time without load, as a share of what a full load adds to it.
    FractionalMilliseconds typicalTimeToFirstEvent { 0 }; ///< At an engine of which all other slots are in use.
    std::map<std::string, FractionalMilliseconds> roundTrips; ///< To the other data centres, as far as they are weighed and observed.
};

static std::map<std::string, FractionalMilliseconds> observedRoundTrips(const PaceRequirements& pace, const NodeLocation& location, TimePoint now)
{
    std::map<std::string, FractionalMilliseconds> roundTrips;
    if (!pace.weighsDataCentres || !pace.distances)
        return roundTrips;
    for (const auto& [other, exchanges] : pace.distances->exchanges) {
        if (auto roundTrip = roundTripTo(*pace.distances, location.dataCentre, other, now))
            roundTrips[other] = *roundTrip;
    }
    return roundTrips;
}

static ChoiceContext makeContext(const EndpointTable& table, const EndpointRequirements& requirements, const NodeLocation& location, TimePoint now)
{
    ChoiceContext context;
    context.roundTrips = observedRoundTrips(requirements.pace, location, now);
    const auto* engine = requirements.pace.engine;
    if (!engine)
        return context;
    auto unloaded = timeToFirstEvent(*engine, requirements.pace.promptTokens, 0, 1);
    auto full = timeToFirstEvent(*engine, requirements.pace.promptTokens, engine->slots - 1, 1);
    context.unloadedShare = unloaded / std::max(full - unloaded, FractionalMilliseconds(1));
    context.typicalTimeToFirstEvent = typicalWorkTime(table, requirements.service, now) * full;
    return context;
}

static double distancePenalty(Distance distance, const PaceRequirements& pace)
{
    return distance == OtherRegion && pace.weighsDataCentres ? weighedOtherRegionPenalty : distancePenalties[distance];
}

// Rates a candidate by the load, and by the time in which the endpoint is expected to answer.
static void rateCandidate(EndpointCandidate& candidate, const EndpointRow& row, Distance distance, double load, double limit, const ChoiceContext& context, const PaceRequirements& pace, TimePoint now)
{
    candidate.loadScore = load / limit + distancePenalty(distance, pace);
    candidate.score = candidate.loadScore;
    auto observed = distance >= SameRegion ? context.roundTrips.find(row.record.dataCentre) : context.roundTrips.end();
    bool isRoundTripKnown = observed != context.roundTrips.end();
    // A far endpoint seldom states its work time to this entry. With a known round trip it is still checked for being on time, at the
    // usual work time.
    if (!isWorkTimeKnown(row, now) && !isRoundTripKnown)
        return;
    double workTime = currentWorkTime(row, now);
    candidate.score += (workTime - 1) * (load / limit + context.unloadedShare);
    if (!pace.engine)
        return;
    auto assumed = distance >= SameRegion ? FractionalMilliseconds(remoteRoundTrip) : FractionalMilliseconds(0);
    auto roundTrip = isRoundTripKnown ? observed->second : assumed;
    candidate.isOnTime = timeToFirstEvent(*pace.engine, pace.promptTokens, load, workTime) + roundTrip <= pace.timeToTarget;
}

// Whether the request would be late at the endpoint and is expected to be on time if it waits for another one.
static bool isBetterWaiting(const EndpointCandidate& candidate, const ChoiceContext& context, const PaceRequirements& pace)
{
    return !candidate.isOnTime && FractionalMilliseconds(pace.expectedWait) + context.typicalTimeToFirstEvent <= pace.timeToTarget;
}

// Leaves out endpoints that are so slow that the better ones of the same distance answer earlier at any load.
static void removeMuchSlower(std::vector<EndpointCandidate>& candidates)
{
    if (candidates.empty())
        return;
    auto isBetter = [](const EndpointCandidate& first, const EndpointCandidate& second) { return first.score < second.score; };
    double best = std::min_element(candidates.begin(), candidates.end(), isBetter)->score;
    auto isMuchSlower = [&](const EndpointCandidate& candidate) { return candidate.score > best + maxScoreDifference; };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isMuchSlower), candidates.end());
}

// Leaves the candidates whose planned switches to other weights suit the request best, see SwitchDrain.h: a few that switch soon after
// its end, else all that don't switch before, else a few that switch last. Those that switch soon after it are preferred to all others.
static void weighSwitches(std::vector<EndpointCandidate>& candidates, const EndpointTable& table, const EndpointRequirements& requirements)
{
    if (candidates.empty() || requirements.expectedRunTime == Milliseconds(0))
        return;
    auto rowOf = [&](const EndpointCandidate& candidate) -> const EndpointRow& { return table.rows[candidate.row]; };
    auto suits = [&](const EndpointCandidate& first, const EndpointCandidate& second) { return suitsBetter(rowOf(first), rowOf(second), requirements.expectedRunTime, requirements.bootNow); };
    auto fitOf = [&](const EndpointCandidate& candidate) { return switchFit(rowOf(candidate), requirements.expectedRunTime, requirements.bootNow); };
    auto best = fitOf(*std::min_element(candidates.begin(), candidates.end(), suits));
    auto isWorse = [&](const EndpointCandidate& candidate) { return fitOf(candidate) != best; };
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(), isWorse), candidates.end());
    if (best == SwitchFit::Unaffected)
        return;
    auto kept = candidates.begin() + static_cast<ptrdiff_t>(std::min(sampledEndpointsPerDistance, candidates.size()));
    std::partial_sort(candidates.begin(), kept, candidates.end(), suits);
    candidates.erase(kept, candidates.end());
    for (auto& candidate : candidates) {
        double preference = best == SwitchFit::EndsSoonBefore ? soonSwitchPreference : 0;
        candidate.score -= preference;
        candidate.loadScore -= preference;
    }
}

// Whether `farther`, at the given distance, is to be preferred to `nearer`. Bytes between data centres are dear, so a nearer
// endpoint that is slow and on time is left only for its load.
static bool isPreferred(const EndpointCandidate& farther, const EndpointCandidate& nearer, Distance distance)
{
    bool isRemote = distance >= SameRegion;
    return isRemote && nearer.isOnTime ? farther.loadScore < nearer.loadScore : farther.score < nearer.score;
}

// Returns the best of a few candidates that are drawn at random without replacement.
static EndpointCandidate bestOfRandomSample(std::vector<EndpointCandidate>& candidates, std::minstd_rand& random)
{
    EndpointCandidate best;
    size_t sampleSize = std::min(sampledEndpointsPerDistance, candidates.size());
    for (size_t i = 0; i < sampleSize; ++i) {
        std::uniform_int_distribution<size_t> position(i, candidates.size() - 1);
        std::swap(candidates[i], candidates[position(random)]);
        if (best.row == noEndpoint || candidates[i].score < best.score)
            best = candidates[i];
    }
    return best;
}

// A number that is evenly distributed over the pairs of an entry and an endpoint.
static uint64_t pairHash(const EndpointRequirements& requirements, const EndpointRecord& record)
{
    return XXH64(record.id.data(), record.id.size(), requirements.entryHash);
}

// Moves some engines, which differ between entries, to the front: as many as `entriesPerEngine` of `entryCount` entries
// having the same number lets each engine have. Returns their number; all candidates if they aren't engines.
static size_t bringOwnShareToFront(std::vector<EndpointCandidate>& candidates, const EndpointTable& table, const EndpointRequirements& requirements, double entriesPerEngine, uint32_t entryCount, size_t minCount)
{
    double share = entriesPerEngine / std::max(entryCount, 1U);
    auto count = std::max(minCount, static_cast<size_t>(std::ceil(share * static_cast<double>(candidates.size()))));
    bool isEngine = !candidates.empty() && table.rows[candidates.front().row].record.isModelEngine;
    if (!isEngine || count >= candidates.size())
        return candidates.size();
    auto isBefore = [&](const EndpointCandidate& first, const EndpointCandidate& second) {
        return pairHash(requirements, table.rows[first.row].record) < pairHash(requirements, table.rows[second.row].record);
    };
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<ptrdiff_t>(count), candidates.end(), isBefore);
    return count;
}

// Moves the engines that this entry is home to, and endpoints that aren't engines, to the front; returns their end.
static std::vector<EndpointCandidate>::iterator bringHomeToFront(std::vector<EndpointCandidate>& candidates, const EndpointTable& table)
{
    auto isHome = [&](const EndpointCandidate& candidate) {
        const auto& row = table.rows[candidate.row];
        return !row.record.isModelEngine || row.share.position == 0;
    };
    return std::stable_partition(candidates.begin(), candidates.end(), isHome);
}

// Divides the engines among the entries. In the own data centre, an entry prefers some. Of those of other regions, it uses only
// some: the loads there are known late, and if all entries chose among the same few free engines, they would overload them.
static void divideEngines(std::array<std::vector<EndpointCandidate>, distancePenalties.size()>& candidates, const EndpointTable& table, const EndpointRequirements& requirements)
{
    auto& near = candidates[PreferredNear];
    auto preferred = requirements.sharesEngines ? bringHomeToFront(near, table) : near.begin() + static_cast<ptrdiff_t>(bringOwnShareToFront(near, table, requirements, entriesPerNearEngine, requirements.nearEntryCount, minNearEngines));
    candidates[OtherNear].assign(preferred, near.end());
    near.erase(preferred, near.end());
    auto& far = candidates[OtherRegion];
    double entriesPerEngine = requirements.sharesEngines ? entriesPerSharedFarEngine : entriesPerFarEngine;
    far.resize(bringOwnShareToFront(far, table, requirements, entriesPerEngine, requirements.entryCount, minFarEngines));
}

// While an entry doesn't know what the others send to a new engine, it sends no more than its share, so that all entries
// together stay within the engine's concurrency limit.
static bool isWithinEntryShare(const EndpointRow& row, double limit, const EndpointRequirements& requirements, TimePoint now)
{
    if (now >= row.peerLoadUnknownUntil || !row.record.isModelEngine)
        return true;
    double share = limit / std::max(requirements.entryCount, 1U);
    if (share >= 1)
        return row.inFlight + 1 <= share;
    // With more entries than slots, a hash selects the entries that may send one request.
    auto fraction = static_cast<double>(pairHash(requirements, row.record) >> 11) / static_cast<double>(1ULL << 53);
    return row.inFlight == 0 && fraction < share;
}

// Whether one more request stays within what this entry may have at the engine beside the others.
static bool isWithinOwnPart(const EndpointRow& row, double limit, double load, const EndpointRequirements& requirements, TimePoint now)
{
    if (!requirements.sharesEngines || !row.record.isModelEngine)
        return true;
    // A request of another entry that ended and wasn't told of yet makes the engine's statement lower than what is known. Once
    // it is told of, the correction would count its end twice; so what the statement lacks isn't taken off.
    double known = std::max<double>(load, row.inFlight + row.peersInFlight);
    return isWithinEngineShare(row.share, { limit, known, row.inFlight, hasStatedLoad(row, now), now });
}

// Whether an endpoint with that limit and load may get one more request of this entry.
static bool hasCapacity(const EndpointRow& row, double limit, double load, const EndpointRequirements& requirements, TimePoint now)
{
    bool isReturning = row.inFlight + 1 > limitAfterReturn(row.statement, limit, now);
    return load + 1 <= limit && !isReturning && isWithinEntryShare(row, limit, requirements, now) && isWithinOwnPart(row, limit, load, requirements, now);
}

bool hasCapacityFor(const EndpointRow& row, const EndpointRequirements& requirements, TimePoint now)
{
    return hasCapacity(row, concurrencyLimit(row, requirements.pace, now), estimatedLoad(row, now), requirements, now);
}

// Returns by data centre the number of requests that other entries are expected to have sent to each engine there without this
// entry knowing it yet. Each entry of this data centre that has no free capacity nearby sends about as many as this one does.
static std::map<std::string, double> unknownRemoteLoads(const EndpointTable& table, const EndpointRequirements& requirements, const NodeLocation& location, TimePoint now)
{
    std::map<std::string, std::pair<double, double>> sendsAndEndpoints;
    for (const auto& row : table.rows) {
        bool isRemoteEngine = row.isListed && row.record.isModelEngine && row.record.service == requirements.service && row.record.dataCentre != location.dataCentre;
        if (!isRemoteEngine)
            continue;
        auto isRecent = [&](TimePoint sentAt) { return now - sentAt < remoteLoadPropagationTime; };
        auto& [sends, endpoints] = sendsAndEndpoints[row.record.dataCentre];
        sends += static_cast<double>(std::count_if(row.responseDelay.waitingSince.begin(), row.responseDelay.waitingSince.end(), isRecent));
        ++endpoints;
    }
    std::map<std::string, double> loads;
    for (const auto& [dataCentre, counts] : sendsAndEndpoints)
        loads[dataCentre] = counts.first * (std::max(requirements.nearEntryCount, 1U) - 1) / counts.second;
    return loads;
}

// Why the chosen endpoint of another data centre is preferred to the best one of the own. `isSlowLeftOut` tells whether endpoints
// of the own data centre have free capacity and were left out because they are slow.
static RemoteReason remoteReason(const EndpointCandidate& chosen, const EndpointCandidate& bestNear, bool isSlowLeftOut)
{
    if (bestNear.row == noEndpoint)
        return isSlowLeftOut ? RemoteReason::NearSlow : RemoteReason::NearFull;
    return chosen.loadScore < bestNear.loadScore ? RemoteReason::NearLoaded : RemoteReason::NearSlow;
}

EndpointChoice chooseEndpoint(const EndpointTable& table, const EndpointRequirements& requirements, const NodeLocation& location, const std::set<std::string>& evacuatedDataCentres, uint64_t random, TimePoint now)
{
    EndpointChoice choice;
    std::array<std::vector<EndpointCandidate>, distancePenalties.size()> candidates;
    // 1. Collect the eligible endpoints by distance.
    for (uint32_t i = 0; i < table.rows.size(); ++i) {
        const auto& row = table.rows[i];
        if (isEligible(row, requirements, location, evacuatedDataCentres, now))
            candidates[distanceTo(row.record, location)].push_back({ i });
    }
    divideEngines(candidates, table, requirements);
    auto context = makeContext(table, requirements, location, now);
    auto unknownLoads = requirements.pace.weighsDataCentres ? unknownRemoteLoads(table, requirements, location, now) : std::map<std::string, double>();
    // 2. Leave those with free capacity. One that is so slow that the request is better left waiting counts as having none.
    bool isSlowLeftOut = false;
    for (size_t distance = 0; distance < candidates.size(); ++distance) {
        choice.hasEligible = choice.hasEligible || !candidates[distance].empty();
        auto isFull = [&](EndpointCandidate& candidate) {
            const auto& row = table.rows[candidate.row];
            double limit = concurrencyLimit(row, requirements.pace, now);
            auto unknownLoad = unknownLoads.find(row.record.dataCentre);
            double load = estimatedLoad(row, now) + (unknownLoad == unknownLoads.end() ? 0 : unknownLoad->second);
            rateCandidate(candidate, row, static_cast<Distance>(distance), load, limit, context, requirements.pace, now);
            if (!hasCapacity(row, limit, load, requirements, now))
                return true;
            bool isLeftOut = isBetterWaiting(candidate, context, requirements.pace);
            isSlowLeftOut = isSlowLeftOut || (isLeftOut && distance < SameRegion);
            return isLeftOut;
        };
        auto& sameDistance = candidates[distance];
        sameDistance.erase(std::remove_if(sameDistance.begin(), sameDistance.end(), isFull), sameDistance.end());
        removeMuchSlower(sameDistance);
        if (distance < SameRegion)
            weighSwitches(sameDistance, table, requirements);
        choice.availableCount += static_cast<uint32_t>(sameDistance.size());
    }
    // 3. Choose the best of a random sample of each distance.
    std::minstd_rand generator(static_cast<std::minstd_rand::result_type>(random));
    EndpointCandidate best;
    EndpointCandidate bestNear;
    for (size_t distance = 0; distance < candidates.size(); ++distance) {
        auto found = bestOfRandomSample(candidates[distance], generator);
        if (found.row != noEndpoint && (best.row == noEndpoint || isPreferred(found, best, static_cast<Distance>(distance))))
            best = found;
        if (distance < SameRegion)
            bestNear = best;
    }
    choice.row = best.row;
    if (best.row != bestNear.row)
        choice.remoteReason = remoteReason(best, bestNear, isSlowLeftOut);
    return choice;
}

} // namespace bilberry
