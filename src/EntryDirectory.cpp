#include "EntryDirectory.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace bilberry {

// An entry that failed is avoided for this time, which doubles with each consecutive failure up to the maximum.
static constexpr Milliseconds initialAvoidTime { 500 };
static constexpr int maxDoublings = 4;
// Largest number of entries in a directory; further ones aren't added.
static constexpr size_t maxEntries = 64;

void EntryDirectory::add(const std::string& ip, const std::string& dataCentreOfEntry)
{
    if (ip.empty() || (this->rows.size() >= maxEntries && this->rows.count(ip) == 0))
        return;
    auto& row = this->rows[ip];
    if (!dataCentreOfEntry.empty())
        row.dataCentre = dataCentreOfEntry;
}

void EntryDirectory::recordAnswer(const std::string& ip, const std::string& dataCentreOfEntry)
{
    this->add(ip, dataCentreOfEntry);
    auto found = this->rows.find(ip);
    if (found == this->rows.end())
        return;
    found->second.consecutiveFailures = 0;
    found->second.avoidUntil = TimePoint();
}

void EntryDirectory::recordFailure(const std::string& ip, TimePoint now)
{
    auto found = this->rows.find(ip);
    if (found == this->rows.end())
        return;
    auto& row = found->second;
    row.avoidUntil = now + initialAvoidTime * (1 << std::min(row.consecutiveFailures, maxDoublings));
    ++row.consecutiveFailures;
}

// The sort key of an entry; the entry with the lowest key is asked first. The hash spreads agents over entries.
static std::tuple<TimePoint, int, uint64_t> rankOf(const EntryDirectory& directory, const std::string& ip, const EntryDirectory::Row& row, TimePoint now)
{
    auto avoided = now < row.avoidUntil ? row.avoidUntil : TimePoint();
    int distance = row.dataCentre == directory.dataCentre ? 0 : row.dataCentre.empty() ? 1
                                                                                       : 2;
    auto hashedText = directory.ownHost + "/" + ip;
    return { avoided, distance, XXH64(hashedText.data(), hashedText.size(), 0) };
}

std::string chooseEntry(const EntryDirectory& directory, TimePoint now)
{
    auto isBetter = [&](const auto& first, const auto& second) { return rankOf(directory, first.first, first.second, now) < rankOf(directory, second.first, second.second, now); };
    auto best = std::min_element(directory.rows.begin(), directory.rows.end(), isBetter);
    return best == directory.rows.end() ? std::string() : best->first;
}

Duration timeUntilUnavoidedEntry(const EntryDirectory& directory, TimePoint now)
{
    auto endsEarlier = [](const auto& first, const auto& second) { return first.second.avoidUntil < second.second.avoidUntil; };
    auto next = std::min_element(directory.rows.begin(), directory.rows.end(), endsEarlier);
    return next == directory.rows.end() ? Duration(0) : std::max(Duration(0), next->second.avoidUntil - now);
}

} // namespace bilberry
