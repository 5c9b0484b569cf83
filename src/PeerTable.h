/// What an entry knows of the other entries from their messages. Entries of its own data centre are heard directly; of the
/// others it learns by lists of peers and by digests, which one entry of each data centre makes. Holds state only;
/// PeerExchange sends and receives. The time since an entry's last message decides whether its load still counts, and whether
/// it still shares the fleet's budgets: a recently heard entry is one that isn't stopping and whose last message is less than
/// 1.2 s old; an entry whose last message is less than 20 s old may be alive.
#pragma once

#include "PeerMessage.h"
#include "Types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// Another entry.
struct PeerRow {
    PeerMessageLayout layout = PeerMessageLayout::WithDigests; ///< The layout of its last message.
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    TimePoint heardAt {}; ///< When its last message was received; the default value if none was.
    TimePoint listedAt {}; ///< When an entry last listed it as alive; the default value if none did.
    bool isStopping = false;
    std::string dataCentre; ///< Empty while it isn't known.
    Milliseconds viewAge = Milliseconds::max(); ///< The age of the entry's cluster view when it sent the message.
    StoreVersion storeVersion; ///< What the entry's cluster view reflected of the store.
    uint64_t generation = 0; ///< The generation of the entry's configuration.
    std::unordered_map<uint32_t, uint32_t> loads; ///< The entry's number of requests; the key is the hash of the endpoint's id.
};

/// The last digest of another data centre.
struct DigestRow {
    std::vector<std::string> contacts; ///< As in DataCentreDigest.
    TimePoint madeAt {};
    TimePoint receivedAt {}; ///< When an entry of that data centre sent it directly to this one; the default value if it was passed on.
    uint32_t entryCount = 0;
    std::unordered_map<uint32_t, uint32_t> loads; ///< As in PeerRow.
};

/// Used by one thread at a time.
struct PeerTable {
    std::string ownIp;
    std::string ownDataCentre;
    std::map<std::string, PeerRow> rows; ///< The key is the IP address of the entry.
    std::map<std::string, DigestRow> digests; ///< The key is the data centre.

    /// Adds an entry that may exist. An empty data centre is unknown.
    void add(const std::string& ip, const std::string& dataCentre = {});
    /// Applies a message. Returns false and changes nothing for this entry's own message and for one that isn't newer than
    /// the last one from that entry. A message of a lower incarnation is newer once the entry has been silent for 3 s.
    bool applyMessage(const std::string& ip, const PeerMessage&, TimePoint now);
    /// Removes entries that have been neither heard nor listed for 60 s, except for those in `kept`, and digests of that age.
    void removeSilentPeers(const std::vector<std::string>& kept, TimePoint now);
};

/// Whether the entry isn't stopping and was heard recently. Thread safe.
bool isRecentlyHeard(const PeerRow&, TimePoint now);
/// Returns the requests of all other entries at endpoints, by the hash of the endpoint's id: of the recently heard entries
/// of this data centre, and of the others by their digests. Thread safe.
std::unordered_map<uint32_t, uint32_t> peersInFlight(const PeerTable&, TimePoint now);
/// Returns the number of entries that may be alive, the own one included. Thread safe.
uint32_t countEntries(const PeerTable&, TimePoint now);
/// Returns the recently heard entry with the most recent cluster view, if that is younger than `ownAge` and doesn't reflect
/// an era of the store before `era`; empty when there is none. Thread safe.
std::string freshestPeer(const PeerTable&, Milliseconds ownAge, uint64_t era, TimePoint now);
/// Returns a recently heard entry whose configuration has a higher generation than `generation`; empty when there is none.
/// Thread safe.
std::string peerWithNewerConfiguration(const PeerTable&, uint64_t generation, TimePoint now);
/// Returns the IP addresses of at most `maxCount` recently heard entries of a data centre. Thread safe.
std::vector<std::string> peersInDataCentre(const PeerTable&, const std::string& dataCentre, size_t maxCount, TimePoint now);
/// Returns the IP addresses of the entries of a data centre that aren't recently heard, haven't said that they stop and may be
/// alive. Thread safe.
std::vector<std::string> silentPeersInDataCentre(const PeerTable&, const std::string& dataCentre, TimePoint now);
/// Returns at most `maxCount` entries that are alive as far as this one knows, beginning at position `first` of all of them
/// and going on at the start. Thread safe.
std::vector<KnownPeer> knownPeers(const PeerTable&, size_t first, size_t maxCount, TimePoint now);
/// Returns the entries that a newly started one of `dataCentre` needs to know: those of its data centre, and some of each
/// other one. Thread safe.
std::vector<KnownPeer> peersForNewEntry(const PeerTable&, const std::string& dataCentre, TimePoint now);

} // namespace bilberry
