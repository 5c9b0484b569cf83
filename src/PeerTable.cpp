#include "PeerTable.h"

#include <algorithm>

namespace bilberry {

// Time since its last message for which an entry counts as recently heard, and for which it may be alive.
static constexpr Milliseconds recentlyHeardTime { 1200 };
static constexpr Seconds presumedAliveTime { 20 };
// Time since its last message after which an entry is removed.
static constexpr Seconds removalTime { 60 };

static bool isRecentlyHeard(const PeerRow& row, TimePoint now)
{
    return row.heardAt != TimePoint() && now - row.heardAt < recentlyHeardTime && !row.isStopping;
}

void PeerTable::add(const std::string& ip)
{
    if (ip != this->ownIp && !ip.empty())
        this->rows.try_emplace(ip);
}

bool PeerTable::applyMessage(const std::string& ip, const PeerMessage& message, TimePoint now)
{
    if (ip == this->ownIp)
        return false;
    auto& row = this->rows[ip];
    bool isOlder = message.incarnation < row.incarnation || (message.incarnation == row.incarnation && message.sequence <= row.sequence);
    if (isOlder)
        return false;
    row.incarnation = message.incarnation;
    row.sequence = message.sequence;
    row.heardAt = now;
    row.isStopping = message.isStopping;
    row.viewAge = message.viewAge;
    row.dataCentre = message.dataCentre;
    row.loads.clear();
    for (const auto& load : message.loads)
        row.loads[load.endpoint] = load.inFlight;
    for (const auto& peer : message.peers)
        this->add(peer);
    return true;
}

void PeerTable::removeSilentPeers(const std::vector<std::string>& kept, TimePoint now)
{
    for (auto row = this->rows.begin(); row != this->rows.end();) {
        bool isKept = std::find(kept.begin(), kept.end(), row->first) != kept.end();
        // An entry that was only listed by others has no last message. It doesn't count as alive, and is removed if it stays
        // silent from now on.
        if (row->second.heardAt == TimePoint() && !isKept)
            row->second.heardAt = now - presumedAliveTime;
        bool isExpired = !isKept && now - row->second.heardAt > removalTime;
        row = isExpired ? this->rows.erase(row) : std::next(row);
    }
}

uint32_t peersInFlight(const PeerTable& table, uint32_t endpoint, TimePoint now)
{
    uint32_t total = 0;
    for (const auto& [ip, row] : table.rows) {
        auto found = row.loads.find(endpoint);
        if (isRecentlyHeard(row, now) && found != row.loads.end())
            total += found->second;
    }
    return total;
}

bool haveAllPeersReported(const PeerTable& table, TimePoint now)
{
    return std::all_of(table.rows.begin(), table.rows.end(), [&](const auto& entry) {
        const auto& row = entry.second;
        bool mayBeAlive = row.heardAt != TimePoint() && now - row.heardAt < presumedAliveTime;
        return isRecentlyHeard(row, now) || !mayBeAlive;
    });
}

uint32_t countEntries(const PeerTable& table, TimePoint now)
{
    auto mayBeAlive = [&](const auto& entry) { return entry.second.heardAt != TimePoint() && now - entry.second.heardAt < presumedAliveTime; };
    return 1 + static_cast<uint32_t>(std::count_if(table.rows.begin(), table.rows.end(), mayBeAlive));
}

std::string freshestPeer(const PeerTable& table, Milliseconds ownAge, TimePoint now)
{
    std::string best;
    auto bestAge = ownAge;
    for (const auto& [ip, row] : table.rows) {
        if (!isRecentlyHeard(row, now) || row.viewAge == Milliseconds::max())
            continue;
        auto age = row.viewAge + std::chrono::duration_cast<Milliseconds>(now - row.heardAt);
        if (age < bestAge) {
            best = ip;
            bestAge = age;
        }
    }
    return best;
}

std::vector<std::string> peersInDataCentre(const PeerTable& table, const std::string& dataCentre, size_t maxCount, TimePoint now)
{
    std::vector<std::string> found;
    for (const auto& [ip, row] : table.rows) {
        if (isRecentlyHeard(row, now) && row.dataCentre == dataCentre && found.size() < maxCount)
            found.push_back(ip);
    }
    return found;
}

std::vector<std::string> recentlyHeardPeers(const PeerTable& table, size_t maxCount, TimePoint now)
{
    std::vector<std::string> live;
    for (const auto& [ip, row] : table.rows) {
        if (isRecentlyHeard(row, now) && live.size() < maxCount)
            live.push_back(ip);
    }
    return live;
}

} // namespace bilberry
