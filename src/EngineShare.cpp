#include "EngineShare.h"

#include "EndpointTable.h"
#include "Rendezvous.h"

#include <algorithm>
#include <unordered_map>

namespace bilberry {

// Slots that a guest leaves free at most, those that an entry of another data centre leaves free, and those of which the home
// entry takes one at a time if there are guests, which it leaves free while the others don't know that it is the home.
static constexpr uint32_t maxGuestReserve = 3;
static constexpr uint32_t remoteReserve = 1;
static constexpr uint32_t homeReserve = 1;
// Slots that a guest leaves free at an engine that has had room for a while, and how long that is: the others have told of what
// they sent meanwhile.
static constexpr uint32_t steadyReserve = 1;
static constexpr Milliseconds steadyRoomTime { 300 };
// Time within which the entries learn of a change of homes: they hear of entries and of engines at different times.
static constexpr Milliseconds homeChangeTime { 800 };
// Part of the limit up to which an engine is used whose home isn't heard and that hasn't stated its load.
static constexpr double blindTakeOverFraction = 0.5;

// Whether the other entries know that this one is the home.
static bool isKnownHome(const EngineShare& share, TimePoint now)
{
    return share.position == 0 && now - share.homeSince >= homeChangeTime;
}

// Whether the engine has had room for several requests for so long that the other entries would have used it.
static bool hasSteadyRoom(const EngineShare& share, TimePoint now)
{
    return share.roomSince != TimePoint::max() && now - share.roomSince >= steadyRoomTime;
}

static uint32_t reserveOf(const EngineShare& share, TimePoint now)
{
    if (share.position == remotePosition)
        return remoteReserve;
    if (share.position == 0)
        return std::min(share.guestCount, homeReserve);
    return hasSteadyRoom(share, now) ? steadyReserve : std::min(share.position, maxGuestReserve);
}

// If the entries can't hear each other, both sides have a home for the engine. Only what the engine states tells of the other
// side's requests then.
static double usableLimit(const EngineShare& share, const EngineUse& use)
{
    bool isBlind = share.isTakenOver && !use.isLoadStated;
    return isBlind ? use.limit * blindTakeOverFraction : use.limit;
}

bool isWithinEngineShare(const EngineShare& share, const EngineUse& use)
{
    double limit = usableLimit(share, use);
    if (use.load + 1 > limit)
        return false;
    bool isReplacement = use.inFlight < share.toldInFlight;
    if (isReplacement)
        return true;
    bool leavesReserve = use.load + 1 <= limit - reserveOf(share, use.now);
    bool hasUntold = use.inFlight > share.toldInFlight;
    return isKnownHome(share, use.now) ? leavesReserve || !hasUntold : leavesReserve && !hasUntold;
}

void noteRoom(EngineShare& share, double limit, double load, TimePoint now)
{
    bool hasRoom = load + 1 + steadyReserve <= limit;
    share.roomSince = hasRoom ? std::min(share.roomSince, now) : TimePoint::max();
}

// An entry with its score for one engine.
struct ScoredEntry {
    uint64_t score = 0;
    const std::string* ip = nullptr;
};

static std::vector<ScoredEntry> entriesInOrder(const std::string& engineId, const std::vector<std::string>& entries)
{
    std::vector<ScoredEntry> scored;
    scored.reserve(entries.size());
    for (const auto& entry : entries)
        scored.push_back({ rendezvousScore(engineId, entry), &entry });
    auto isHigher = [](const ScoredEntry& first, const ScoredEntry& second) {
        return first.score != second.score ? first.score > second.score : *first.ip < *second.ip;
    };
    std::sort(scored.begin(), scored.end(), isHigher);
    return scored;
}

// Numbers of engines that the entries are home to so far.
struct HomeCounts {
    std::unordered_map<std::string, size_t> byEntry;
    size_t base = 0; ///< Number of engines that each entry may be home to.
    size_t extra = 0; ///< Number of entries that may be home to one more.
};

static bool tryAddHome(HomeCounts& counts, const std::string& entry)
{
    auto& count = counts.byEntry[entry];
    if (count > counts.base || (count == counts.base && counts.extra == 0))
        return false;
    counts.extra -= count == counts.base ? 1 : 0;
    ++count;
    return true;
}

std::vector<EnginePosition> engineOrder(const std::string& ownIp, const std::vector<std::string>& entries, const std::vector<std::string>& engineIds)
{
    // The engines are gone through in the same order at all entries.
    std::vector<size_t> order(engineIds.size());
    for (size_t i = 0; i < order.size(); ++i)
        order[i] = i;
    std::sort(order.begin(), order.end(), [&](size_t first, size_t second) { return engineIds[first] < engineIds[second]; });
    HomeCounts counts;
    counts.base = entries.empty() ? 0 : engineIds.size() / entries.size();
    counts.extra = entries.empty() ? 0 : engineIds.size() % entries.size();
    std::vector<EnginePosition> positions(engineIds.size());
    for (size_t engine : order) {
        auto scored = entriesInOrder(engineIds[engine], entries);
        auto home = std::find_if(scored.begin(), scored.end(), [&](const ScoredEntry& entry) { return tryAddHome(counts, *entry.ip); });
        if (home == scored.end())
            continue;
        positions[engine].homeEntry = *home->ip;
        std::rotate(scored.begin(), home, home + 1);
        auto own = std::find_if(scored.begin(), scored.end(), [&](const ScoredEntry& entry) { return *entry.ip == ownIp; });
        positions[engine].position = own == scored.end() ? remotePosition : static_cast<uint32_t>(own - scored.begin());
    }
    return positions;
}

static bool isEngineIn(const EndpointRow& row, const std::string& dataCentre)
{
    return row.isListed && row.record.isModelEngine && row.record.dataCentre == dataCentre;
}

// A hash of the set of engines that doesn't depend on the order of the rows.
static uint64_t hashEngines(const EndpointTable& table, const std::string& dataCentre)
{
    uint64_t sum = 0;
    for (const auto& row : table.rows)
        sum += isEngineIn(row, dataCentre) ? hashText(row.record.id) : 0;
    return sum;
}

static std::vector<std::string> enginesOf(const EndpointTable& table, const std::string& dataCentre)
{
    std::vector<std::string> ids;
    for (const auto& row : table.rows) {
        if (isEngineIn(row, dataCentre))
            ids.push_back(row.record.id);
    }
    return ids;
}

bool updateEngineShares(EngineShareBasis& basis, EndpointTable& table, const std::string& ownIp, const std::string& dataCentre, const std::vector<std::string>& heardEntries, const std::vector<std::string>& silentEntries, TimePoint now)
{
    auto engines = hashEngines(table, dataCentre);
    bool isSame = basis.isDetermined && engines == basis.engines && heardEntries == basis.heardEntries && silentEntries == basis.silentEntries;
    if (isSame)
        return false;
    basis = { heardEntries, silentEntries, engines, true };
    auto ids = enginesOf(table, dataCentre);
    auto entries = heardEntries;
    entries.push_back(ownIp);
    auto positions = engineOrder(ownIp, entries, ids);
    // With the silent entries among them, some of the engines would have another home.
    entries.insert(entries.end(), silentEntries.begin(), silentEntries.end());
    auto positionsOfAll = silentEntries.empty() ? positions : engineOrder(ownIp, entries, ids);
    for (auto& row : table.rows)
        row.share.position = isEngineIn(row, dataCentre) ? row.share.position : remotePosition;
    for (size_t i = 0; i < ids.size(); ++i) {
        auto& share = table.rows[table.rowById.at(ids[i])].share;
        bool isNewHome = positions[i].position == 0 && share.position != 0;
        share.homeSince = isNewHome ? now : share.homeSince;
        share.position = positions[i].position;
        share.guestCount = static_cast<uint32_t>(heardEntries.size());
        share.isTakenOver = std::find(silentEntries.begin(), silentEntries.end(), positionsOfAll[i].homeEntry) != silentEntries.end();
    }
    return true;
}

EngineShareCounts countEngineShares(const EndpointTable& table)
{
    EngineShareCounts counts;
    for (const auto& row : table.rows) {
        bool isHome = row.share.position == 0;
        counts.home += isHome ? 1 : 0;
        counts.takenOver += isHome && row.share.isTakenOver ? 1 : 0;
        counts.guest += !isHome && row.share.position != remotePosition ? 1 : 0;
    }
    return counts;
}

void noteLoadsTold(EndpointTable& table)
{
    for (auto& row : table.rows)
        row.share.toldInFlight = row.inFlight;
}

const char* toText(const EngineShare& share)
{
    if (share.position == remotePosition)
        return "remote";
    return share.position == 0 ? "home" : "guest";
}

} // namespace bilberry
