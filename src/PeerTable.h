/// What an entry knows of the other entries from their messages. Holds state only; PeerExchange sends and receives. The
/// time since an entry's last message decides whether its load still counts, and whether it still shares the fleet's
/// budgets. A recently heard entry is one that isn't stopping and whose last message is less than 1.2 s old; an entry whose
/// last message is less than 20 s old may be alive.
#pragma once

#include "PeerMessage.h"
#include "Types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// The last message of another entry.
struct PeerRow {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    /// When the last message was received; the default value if none was, until removeSilentPeers() sets a time for an
    /// entry that others have listed but that has sent nothing.
    TimePoint heardAt {};
    bool isStopping = false;
    std::string dataCentre; ///< Empty until a message was received.
    Milliseconds viewAge = Milliseconds::max(); ///< The age of the entry's cluster view when it sent the message.
    std::unordered_map<uint32_t, uint32_t> loads; ///< The entry's number of requests; the key is the hash of the endpoint's id.
};

/// Used by one thread at a time.
struct PeerTable {
    std::string ownIp;
    std::map<std::string, PeerRow> rows; ///< The key is the IP address of the entry.

    /// Adds an entry that may exist.
    void add(const std::string& ip);
    /// Applies a message. Returns false and changes nothing for this entry's own message and for one that isn't newer than
    /// the last one from that entry.
    bool applyMessage(const std::string& ip, const PeerMessage&, TimePoint now);
    /// Removes entries that have been silent for 60 s, except for those in `kept`. Sets `heardAt` of the others that have
    /// sent no message to a time at which they no longer count as alive.
    void removeSilentPeers(const std::vector<std::string>& kept, TimePoint now);
};

/// Returns the number of requests that the recently heard entries have at an endpoint. Thread safe.
uint32_t peersInFlight(const PeerTable&, uint32_t endpoint, TimePoint now);
/// Returns whether all entries that may be alive have sent a message recently. Thread safe.
bool haveAllPeersReported(const PeerTable&, TimePoint now);
/// Returns the number of entries that may be alive, the own one included. Thread safe.
uint32_t countEntries(const PeerTable&, TimePoint now);
/// Returns the recently heard entry with the most recent cluster view, if that is younger than `ownAge`; empty when there is
/// none. Thread safe.
std::string freshestPeer(const PeerTable&, Milliseconds ownAge, TimePoint now);
/// Returns the IP addresses of at most `maxCount` recently heard entries of a data centre. Thread safe.
std::vector<std::string> peersInDataCentre(const PeerTable&, const std::string& dataCentre, size_t maxCount, TimePoint now);
/// Returns the IP addresses of at most `maxCount` recently heard entries, which are listed in messages. Thread safe.
std::vector<std::string> recentlyHeardPeers(const PeerTable&, size_t maxCount, TimePoint now);

} // namespace bilberry
