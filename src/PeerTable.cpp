#include "PeerTable.h"

#include <algorithm>

namespace bilberry {

// Time since its last message for which an entry counts as recently heard, and for which it may be alive.
static constexpr Milliseconds recentlyHeardTime { 1200 };
static constexpr Seconds presumedAliveTime { 20 };
// Time since its last message, or since another entry last listed it, after which an entry is removed.
static constexpr Seconds removalTime { 60 };
// Time since an entry's last message after which a message of a lower incarnation means that its VM has rebooted.
static constexpr Seconds rebootDetectionTime { 3 };
// Age up to which the requests of a digest count.
static constexpr Milliseconds maxDigestAge { 2500 };
// Largest number of entries of each other data centre that a new entry is told of.
static constexpr size_t maxRemotePeersForNewEntry = 3;

bool isRecentlyHeard(const PeerRow& row, TimePoint now)
{
    return row.heardAt != TimePoint() && now - row.heardAt < recentlyHeardTime && !row.isStopping;
}

static bool mayBeAlive(const PeerRow& row, TimePoint now)
{
    auto lastSign = std::max(row.heardAt, row.listedAt);
    return lastSign != TimePoint() && now - lastSign < presumedAliveTime;
}

// Whether the entry's own messages state its requests to this entry; those of other data centres come by digests.
static bool isHeardDirectly(const PeerTable& table, const PeerRow& row)
{
    return row.dataCentre == table.ownDataCentre || row.layout == PeerMessageLayout::WithoutDigests;
}

void PeerTable::add(const std::string& ip, const std::string& dataCentre)
{
    if (ip == this->ownIp || ip.empty())
        return;
    auto& row = this->rows[ip];
    if (!dataCentre.empty())
        row.dataCentre = dataCentre;
}

// Whether a message is newer than the last one from that entry. A lower incarnation is that of an earlier process, whose
// delayed message must not count, or that of a process that was started after a reboot.
static bool isNewer(const PeerRow& row, const PeerMessage& message, TimePoint now)
{
    if (message.incarnation == row.incarnation)
        return message.sequence > row.sequence;
    return message.incarnation > row.incarnation || now - row.heardAt >= rebootDetectionTime;
}

static void applyDigest(PeerTable& table, const DataCentreDigest& digest, bool isDirect, TimePoint now)
{
    auto& row = table.digests[digest.dataCentre];
    auto madeAt = now - digest.age;
    if (madeAt <= row.madeAt)
        return;
    row.madeAt = madeAt;
    row.receivedAt = isDirect ? now : TimePoint();
    row.contacts = digest.contacts;
    row.entryCount = digest.entryCount;
    row.loads.clear();
    for (const auto& load : digest.loads)
        row.loads[load.endpoint] = load.inFlight;
}

bool PeerTable::applyMessage(const std::string& ip, const PeerMessage& message, TimePoint now)
{
    if (ip == this->ownIp)
        return false;
    auto& row = this->rows[ip];
    if (!isNewer(row, message, now))
        return false;
    row.layout = message.layout;
    row.incarnation = message.incarnation;
    row.sequence = message.sequence;
    row.heardAt = now;
    row.isStopping = message.isStopping;
    row.viewAge = message.viewAge;
    row.storeVersion = message.storeVersion;
    row.generation = message.generation;
    row.dataCentre = message.dataCentre;
    row.loads.clear();
    for (const auto& load : message.loads)
        row.loads[load.endpoint] = load.inFlight;
    for (const auto& digest : message.digests) {
        if (digest.dataCentre != this->ownDataCentre)
            applyDigest(*this, digest, digest.dataCentre == message.dataCentre, now);
    }
    for (const auto& peer : message.peers) {
        this->add(peer.ip, peer.dataCentre);
        if (auto listed = this->rows.find(peer.ip); listed != this->rows.end())
            listed->second.listedAt = now;
    }
    return true;
}

void PeerTable::removeSilentPeers(const std::vector<std::string>& kept, TimePoint now)
{
    for (auto row = this->rows.begin(); row != this->rows.end();) {
        bool isKept = std::find(kept.begin(), kept.end(), row->first) != kept.end();
        bool isExpired = !isKept && now - std::max(row->second.heardAt, row->second.listedAt) > removalTime;
        row = isExpired ? this->rows.erase(row) : std::next(row);
    }
    for (auto digest = this->digests.begin(); digest != this->digests.end();)
        digest = now - digest->second.madeAt > removalTime ? this->digests.erase(digest) : std::next(digest);
}

std::unordered_map<uint32_t, uint32_t> peersInFlight(const PeerTable& table, TimePoint now)
{
    std::unordered_map<uint32_t, uint32_t> total;
    for (const auto& [ip, row] : table.rows) {
        if (!isRecentlyHeard(row, now) || !isHeardDirectly(table, row))
            continue;
        for (const auto& [endpoint, inFlight] : row.loads)
            total[endpoint] += inFlight;
    }
    for (const auto& [dataCentre, digest] : table.digests) {
        if (now - digest.madeAt > maxDigestAge)
            continue;
        for (const auto& [endpoint, inFlight] : digest.loads)
            total[endpoint] += inFlight;
    }
    return total;
}

uint32_t countEntries(const PeerTable& table, TimePoint now)
{
    // The entries of each data centre: those that this entry knows by name or, if that is more, as many as the digest states.
    std::map<std::string, uint32_t> counts;
    for (const auto& [ip, row] : table.rows)
        counts[row.dataCentre] += mayBeAlive(row, now) ? 1 : 0;
    for (const auto& [dataCentre, digest] : table.digests) {
        if (now - digest.madeAt < presumedAliveTime)
            counts[dataCentre] = std::max(counts[dataCentre], digest.entryCount);
    }
    uint32_t total = 1;
    for (const auto& [dataCentre, count] : counts)
        total += count;
    return total;
}

std::string freshestPeer(const PeerTable& table, Milliseconds ownAge, uint64_t era, TimePoint now)
{
    std::string best;
    auto bestAge = ownAge;
    for (const auto& [ip, row] : table.rows) {
        if (!isRecentlyHeard(row, now) || row.viewAge == Milliseconds::max() || row.storeVersion.era < era)
            continue;
        auto age = row.viewAge + std::chrono::duration_cast<Milliseconds>(now - row.heardAt);
        if (age < bestAge) {
            best = ip;
            bestAge = age;
        }
    }
    return best;
}

std::string peerWithNewerConfiguration(const PeerTable& table, uint64_t generation, TimePoint now)
{
    auto isNewer = [&](const auto& entry) { return isRecentlyHeard(entry.second, now) && entry.second.generation > generation; };
    auto found = std::find_if(table.rows.begin(), table.rows.end(), isNewer);
    return found == table.rows.end() ? std::string() : found->first;
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

std::vector<std::string> silentPeersInDataCentre(const PeerTable& table, const std::string& dataCentre, TimePoint now)
{
    std::vector<std::string> found;
    for (const auto& [ip, row] : table.rows) {
        bool isSilent = !row.isStopping && mayBeAlive(row, now) && !isRecentlyHeard(row, now);
        if (isSilent && row.dataCentre == dataCentre)
            found.push_back(ip);
    }
    return found;
}

// Whether the entry is told to others as alive: it was heard recently. An entry of another data centre isn't heard, so what
// others have said of it lately counts.
static bool isListable(const PeerTable& table, const PeerRow& row, TimePoint now)
{
    bool isRemote = !row.dataCentre.empty() && row.dataCentre != table.ownDataCentre;
    return isRecentlyHeard(row, now) || (isRemote && row.listedAt != TimePoint() && now - row.listedAt < presumedAliveTime);
}

std::vector<KnownPeer> knownPeers(const PeerTable& table, size_t first, size_t maxCount, TimePoint now)
{
    std::vector<KnownPeer> all;
    for (const auto& [ip, row] : table.rows) {
        if (isRecentlyHeard(row, now))
            all.push_back({ ip, row.dataCentre });
    }
    if (all.empty())
        return all;
    std::rotate(all.begin(), all.begin() + static_cast<ptrdiff_t>(first % all.size()), all.end());
    all.resize(std::min(all.size(), maxCount));
    return all;
}

std::vector<KnownPeer> peersForNewEntry(const PeerTable& table, const std::string& dataCentre, TimePoint now)
{
    std::vector<KnownPeer> peers;
    std::map<std::string, size_t> remoteCounts;
    for (const auto& [ip, row] : table.rows) {
        if (!isListable(table, row, now))
            continue;
        if (row.dataCentre == dataCentre || ++remoteCounts[row.dataCentre] <= maxRemotePeersForNewEntry)
            peers.push_back({ ip, row.dataCentre });
    }
    return peers;
}

} // namespace bilberry
