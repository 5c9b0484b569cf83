#include "StoreReaders.h"

#include <algorithm>
#include <xxhash.h>

namespace bilberry {

// Number of entries of a data centre that read the store.
static constexpr size_t readersPerDataCentre = 2;
// Age of a chosen entry's view up to which others rely on it. It is above the time for which the store holds a call.
static constexpr Milliseconds maxReaderAge { 2000 };
// Age of the own view from which an entry reads the store itself, and the time for which it goes on to.
static constexpr Milliseconds maxOwnAge { 2200 };
static constexpr Milliseconds fallbackTime { 3000 };
// Age of the own view from which it is confirmed by another entry although that has no changes.
static constexpr Milliseconds confirmationAge { 700 };

// The rank differs from the one that chooses the senders of digests, so that the tasks are spread over entries.
static uint64_t readerRank(const std::string& ip)
{
    constexpr uint64_t readerSeed = 1;
    return XXH64(ip.data(), ip.size(), readerSeed);
}

static Milliseconds currentViewAge(const PeerRow& row, TimePoint now)
{
    if (row.viewAge == Milliseconds::max())
        return row.viewAge;
    return row.viewAge + std::chrono::duration_cast<Milliseconds>(now - row.heardAt);
}

static bool isNearAndCurrent(const PeerTable& table, const PeerRow& row, TimePoint now)
{
    return row.dataCentre == table.ownDataCentre && row.layout == PeerMessageLayout::WithDigests && isRecentlyHeard(row, now) && currentViewAge(row, now) < maxReaderAge;
}

bool shouldReadStore(StoreReading& reading, const PeerTable& table, Milliseconds viewAge, TimePoint now)
{
    if (viewAge >= maxOwnAge)
        reading.fallbackUntil = now + fallbackTime;
    if (now < reading.fallbackUntil)
        return true;
    auto ownRank = readerRank(table.ownIp);
    auto precedes = [&](const auto& entry) { return isNearAndCurrent(table, entry.second, now) && readerRank(entry.first) < ownRank; };
    return static_cast<size_t>(std::count_if(table.rows.begin(), table.rows.end(), precedes)) < readersPerDataCentre;
}

std::string readerToAsk(const PeerTable& table, const StoreVersion& ownVersion, Milliseconds viewAge, TimePoint now)
{
    std::string best;
    auto bestAge = viewAge;
    for (const auto& [ip, row] : table.rows) {
        bool isUseful = isNearAndCurrent(table, row, now) && (ownVersion < row.storeVersion || (viewAge >= confirmationAge && !(row.storeVersion < ownVersion)));
        auto age = currentViewAge(row, now);
        if (isUseful && age < bestAge) {
            best = ip;
            bestAge = age;
        }
    }
    return best;
}

} // namespace bilberry
