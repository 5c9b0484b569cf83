/// The other entries, as one of them knows them. Pure state; PeerExchange sends and receives.
#pragma once

#include "PeerMessage.h"
#include "Types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

struct PeerRow {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    TimePoint heardAt {}; ///< The default value: never.
    bool isStopping = false;
    std::string dataCentre; ///< Empty until it was heard.
    Milliseconds viewAge = Milliseconds::max(); ///< When the message was sent.
    std::unordered_map<uint32_t, uint32_t> loads; ///< Requests by hash of the endpoint.
};

/// Used by one thread at a time.
struct PeerTable {
    std::string ownIp;
    std::map<std::string, PeerRow> rows; ///< By IP number.

    /// Learns of an entry that may exist.
    void add(const std::string& ip);
    /// Takes in a message; false when it is older than one taken in before.
    bool applyMessage(const std::string& ip, const PeerMessage&, TimePoint now);
    /// Forgets entries that have been silent for long, but for `kept` ones.
    void removeSilentPeers(const std::vector<std::string>& kept, TimePoint now);
};

/// Requests that the entries heard of lately have at an endpoint. Thread safe.
uint32_t peersInFlight(const PeerTable&, uint32_t endpoint, TimePoint now);
/// Whether all entries that may be alive were heard of lately. Thread safe.
bool haveAllPeersReported(const PeerTable&, TimePoint now);
/// Entries that may be alive, the own one included. Thread safe.
uint32_t countEntries(const PeerTable&, TimePoint now);
/// The entry heard of lately whose knowledge of the store is the newest, if it is newer than `ownAge`; empty when there is
/// none. Thread safe.
std::string freshestPeer(const PeerTable&, Milliseconds ownAge, TimePoint now);
/// IP numbers of at most `most` entries of a data centre that were heard of lately. Thread safe.
std::vector<std::string> peersInDataCentre(const PeerTable&, const std::string& dataCentre, size_t most, TimePoint now);
/// IP numbers to name in messages. Thread safe.
std::vector<std::string> livePeers(const PeerTable&, size_t most, TimePoint now);

} // namespace bilberry
