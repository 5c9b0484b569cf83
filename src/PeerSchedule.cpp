#include "PeerSchedule.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace bilberry {

// Shortest and longest time between two messages to the entries of the same data centre.
static constexpr Milliseconds shortestInterval { 40 };
static constexpr Milliseconds longestInterval { 400 };
// Bytes per second that one entry sends to the others of its data centre, digests not counted; with many entries messages
// are sent less often.
static constexpr double maxBytesPerSecond = 11'000;
// Bytes that it may send beyond that rate in a burst.
static constexpr double maxBurstBytes = 10'000;
// Time between two digests.
static constexpr Milliseconds digestInterval { 400 };
// Time since the last digest of a data centre after which further entries of it are tried, and asked for.
static constexpr Milliseconds lateDigestAge { 1000 };
static constexpr Milliseconds lostDigestAge { 3000 };
// Time between two messages to entries that haven't been heard recently; shorter while this entry starts.
static constexpr Milliseconds introductionInterval { 1000 };
static constexpr Milliseconds startIntroductionInterval { 200 };
static constexpr Milliseconds startTime { 3000 };
// Largest number of peers that one message lists, and the time between two messages that list peers.
static constexpr size_t maxPeersPerMessage = 8;
static constexpr Milliseconds peerListInterval { 1000 };
// Largest number of entries of one data centre that are tried at once, and of contacts in a digest.
static constexpr size_t maxRemoteTries = 3;
static constexpr size_t maxContacts = 3;

static uint64_t rankOf(const std::string& ip)
{
    return XXH64(ip.data(), ip.size(), 0);
}

static bool isNear(const PeerTable& table, const PeerRow& row)
{
    return row.dataCentre == table.ownDataCentre;
}

bool sendsDigests(const PeerTable& table, TimePoint now)
{
    auto own = rankOf(table.ownIp);
    return std::none_of(table.rows.begin(), table.rows.end(), [&](const auto& entry) {
        const auto& [ip, row] = entry;
        bool isCandidate = isNear(table, row) && isRecentlyHeard(row, now) && row.layout == PeerMessageLayout::WithDigests;
        return isCandidate && rankOf(ip) < own;
    });
}

bool needsPeers(const PeerSchedule& schedule, const PeerTable& table, TimePoint now)
{
    if (now - schedule.startedAt < startTime)
        return true;
    auto isHeardNear = [&](const auto& entry) { return isNear(table, entry.second) && isRecentlyHeard(entry.second, now); };
    if (std::none_of(table.rows.begin(), table.rows.end(), isHeardNear))
        return true;
    return std::any_of(table.digests.begin(), table.digests.end(), [&](const auto& entry) { return now - entry.second.madeAt > lostDigestAge; });
}

// Returns the entries of another data centre that get the digest: the one that sent the last digest from there or, when that
// is late, some others.
static std::vector<std::string> digestTargets(PeerSchedule& schedule, const PeerTable& table, const std::string& dataCentre, TimePoint now)
{
    auto digest = table.digests.find(dataCentre);
    bool isKnown = digest != table.digests.end() && !digest->second.contacts.empty();
    if (isKnown && now - digest->second.madeAt < lateDigestAge)
        return { digest->second.contacts.front() };
    std::vector<std::string> targets;
    if (isKnown)
        targets = digest->second.contacts;
    std::vector<std::string> others;
    for (const auto& [ip, row] : table.rows) {
        bool isOther = row.dataCentre == dataCentre && std::find(targets.begin(), targets.end(), ip) == targets.end();
        if (isOther)
            others.push_back(ip);
    }
    for (size_t i = 0; i < std::min(maxRemoteTries, others.size()); ++i)
        targets.push_back(others[schedule.nextRemote++ % others.size()]);
    return targets;
}

static void addRemoteSends(std::vector<PeerSend>& sends, PeerSchedule& schedule, const PeerTable& table, TimePoint now)
{
    schedule.sentRemoteAt = now;
    std::vector<std::string> dataCentres;
    for (const auto& [dataCentre, digest] : table.digests)
        dataCentres.push_back(dataCentre);
    for (const auto& [ip, row] : table.rows) {
        bool isNew = !row.dataCentre.empty() && !isNear(table, row) && std::find(dataCentres.begin(), dataCentres.end(), row.dataCentre) == dataCentres.end();
        if (isNew)
            dataCentres.push_back(row.dataCentre);
    }
    for (const auto& dataCentre : dataCentres) {
        for (const auto& ip : digestTargets(schedule, table, dataCentre, now))
            sends.push_back({ ip, PeerMessageScope::Remote });
    }
}

// Entries that may not know this one: seeds and entries of this data centre that haven't been heard recently.
static void addIntroductions(std::vector<PeerSend>& sends, PeerSchedule& schedule, const PeerTable& table, TimePoint now)
{
    schedule.introducedAt = now;
    for (const auto& [ip, row] : table.rows) {
        bool isSeed = std::find(schedule.seeds.begin(), schedule.seeds.end(), ip) != schedule.seeds.end();
        bool isUnheard = !isRecentlyHeard(row, now) && (isSeed || isNear(table, row) || row.dataCentre.empty());
        if (isUnheard || (isSeed && needsPeers(schedule, table, now)))
            sends.push_back({ ip, PeerMessageScope::Introduction });
    }
}

std::vector<PeerSend> dueSends(PeerSchedule& schedule, const PeerTable& table, bool hasChanged, TimePoint now)
{
    std::vector<PeerSend> sends;
    // 1. The state goes to the entries of this data centre, and to those of the previous release, which know no digests.
    bool isNearDue = now >= schedule.nextNearAt && (hasChanged || now - schedule.sentNearAt >= longestInterval);
    if (isNearDue) {
        schedule.sentNearAt = now;
        schedule.nextNearAt = now + shortestInterval;
        for (const auto& [ip, row] : table.rows) {
            bool getsState = isNear(table, row) || row.layout == PeerMessageLayout::WithoutDigests;
            if (getsState && isRecentlyHeard(row, now))
                sends.push_back({ ip, PeerMessageScope::Near });
        }
    }
    // 2. One entry of the data centre sends its digest to the others.
    if (now - schedule.sentRemoteAt >= digestInterval && sendsDigests(table, now))
        addRemoteSends(sends, schedule, table, now);
    // 3. Entries that may not know this one get its state now and then.
    auto interval = now - schedule.startedAt < startTime ? startIntroductionInterval : introductionInterval;
    if (now - schedule.introducedAt >= interval)
        addIntroductions(sends, schedule, table, now);
    return sends;
}

void limitRate(PeerSchedule& schedule, size_t bytesSent, TimePoint now)
{
    auto elapsed = std::chrono::duration<double>(now - schedule.allowedBytesAt).count();
    schedule.allowedBytesAt = now;
    schedule.allowedBytes = std::min(maxBurstBytes, schedule.allowedBytes + elapsed * maxBytesPerSecond) - static_cast<double>(bytesSent);
    if (schedule.allowedBytes >= 0)
        return;
    std::chrono::duration<double> delay(-schedule.allowedBytes / maxBytesPerSecond);
    schedule.nextNearAt = std::max(schedule.nextNearAt, now + std::chrono::duration_cast<Milliseconds>(delay));
}

// Makes the digest of this data centre: the own loads and those of the recently heard entries, added up by endpoint.
static DataCentreDigest makeDigest(const PeerTable& table, const std::vector<PeerLoad>& ownLoads, TimePoint now)
{
    DataCentreDigest digest;
    digest.dataCentre = table.ownDataCentre;
    digest.contacts.push_back(table.ownIp);
    digest.entryCount = 1;
    std::unordered_map<uint32_t, uint32_t> total;
    for (const auto& load : ownLoads)
        total[load.endpoint] += load.inFlight;
    for (const auto& [ip, row] : table.rows) {
        if (!isNear(table, row))
            continue;
        bool isHeard = isRecentlyHeard(row, now);
        digest.entryCount += row.heardAt != TimePoint() && !row.isStopping ? 1 : 0;
        if (isHeard && digest.contacts.size() < maxContacts)
            digest.contacts.push_back(ip);
        for (const auto& [endpoint, inFlight] : row.loads)
            total[endpoint] += isHeard ? inFlight : 0;
    }
    for (const auto& [endpoint, inFlight] : total) {
        if (inFlight > 0)
            digest.loads.push_back({ endpoint, inFlight });
    }
    return digest;
}

// Adds the digests that have come directly from other data centres since the last call to a message within this one.
static void passOnDigests(PeerMessage& message, PeerSchedule& schedule, const PeerTable& table, TimePoint now)
{
    auto lastPassedOnAt = std::exchange(schedule.passedOnAt, now);
    for (const auto& [dataCentre, row] : table.digests) {
        if (row.receivedAt <= lastPassedOnAt)
            continue;
        DataCentreDigest digest;
        digest.dataCentre = dataCentre;
        digest.contacts = row.contacts;
        digest.entryCount = row.entryCount;
        digest.age = std::chrono::duration_cast<Milliseconds>(now - row.madeAt);
        for (const auto& [endpoint, inFlight] : row.loads)
            digest.loads.push_back({ endpoint, inFlight });
        message.digests.push_back(std::move(digest));
    }
}

void addPeerState(PeerMessage& message, PeerMessageScope scope, PeerSchedule& schedule, const PeerTable& table, TimePoint now)
{
    message.wantsPeers = scope == PeerMessageScope::Introduction && needsPeers(schedule, table, now);
    if (scope == PeerMessageScope::Remote) {
        message.digests.push_back(makeDigest(table, message.loads, now));
        message.loads.clear();
    }
    if (scope == PeerMessageScope::Near)
        passOnDigests(message, schedule, table, now);
    bool listsPeers = scope != PeerMessageScope::Near || now - schedule.listedPeersAt >= peerListInterval;
    if (!listsPeers)
        return;
    if (scope == PeerMessageScope::Near)
        schedule.listedPeersAt = now;
    message.peers = knownPeers(table, schedule.nextListed, maxPeersPerMessage, now);
    schedule.nextListed += maxPeersPerMessage;
}

} // namespace bilberry
