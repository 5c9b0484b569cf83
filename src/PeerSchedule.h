/// Decides which entries get this entry's next messages, and what of the table of peers goes into them. It is designed for
/// fleets of hundreds of entries with steady load: within a data centre, each entry tells each other one of changes of its
/// load within some tens of milliseconds; between data centres, one entry of each sends a digest of all their loads, which
/// its receiver passes on. So the bytes that an entry sends grow with the entries of its data centre only. Pure functions
/// without I/O.
#pragma once

#include "PeerTable.h"

#include <string>
#include <vector>

namespace bilberry {

/// What a message is for.
enum class PeerMessageScope : uint8_t {
    Near, ///< The state for an entry of the same data centre, with digests that came directly from other data centres.
    Remote, ///< The digest of this data centre, for an entry of another one.
    Introduction, ///< For an entry that may not know this one, or that asks for a list of entries.
};

/// A message that is due.
struct PeerSend {
    std::string ip;
    PeerMessageScope scope = PeerMessageScope::Near;
};

/// When messages were last sent. Used by one thread at a time.
struct PeerSchedule {
    std::vector<std::string> seeds; ///< IP addresses of some entries, which may no longer exist.
    TimePoint startedAt {};
    TimePoint sentNearAt {};
    TimePoint nextNearAt {}; ///< Earliest time of the next messages to entries of the same data centre.
    double allowedBytes = 0; ///< The bytes that may be sent to entries of the same data centre; negative while too many were.
    TimePoint allowedBytesAt {}; ///< When `allowedBytes` was last updated.
    TimePoint sentRemoteAt {};
    TimePoint introducedAt {}; ///< When entries that haven't been heard recently were last sent a message.
    TimePoint passedOnAt {}; ///< When digests of other data centres were last passed on.
    TimePoint listedPeersAt {}; ///< When a message last listed peers.
    size_t nextListed = 0; ///< Position of the next peer to be listed.
    size_t nextRemote = 0; ///< Varies the entries that are tried while a data centre's digest isn't received.
};

/// Returns the messages that are due, and notes them as sent. `hasChanged` tells whether the entry's state has changed since
/// it was last sent.
std::vector<PeerSend> dueSends(PeerSchedule&, const PeerTable&, bool hasChanged, TimePoint now);
/// Counts bytes sent to entries of the same data centre, digests not included, and delays the next messages to them when an
/// allowance, which grows at a fixed rate, is used up. Short bursts of larger messages aren't delayed.
void limitRate(PeerSchedule&, size_t bytesSent, TimePoint now);
/// Adds to a message what the table of peers holds for its scope: the list of peers and the digests. For a message of the
/// Remote scope, `message.loads` must hold this entry's loads; they are moved into the digest.
void addPeerState(PeerMessage&, PeerMessageScope, PeerSchedule&, const PeerTable&, TimePoint now);
/// Whether this entry sends the digests of its data centre: the one with the lowest hash of those recently heard. Thread
/// safe.
bool sendsDigests(const PeerTable&, TimePoint now);
/// Whether this entry knows too little of the fleet, so that it asks for a list of entries. Thread safe.
bool needsPeers(const PeerSchedule&, const PeerTable&, TimePoint now);

} // namespace bilberry
