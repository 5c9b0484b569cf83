/// Leases of key slots: at any time at most one process holds a slot, without stored state.
///
/// A majority of a service's voters grants a slot. A voter grants it to one holder at a time and, after its own start,
/// waits out one lease before it grants anything. A holder counts from the time it *sent* the request that was
/// acknowledged; a voter counts from the later time it received it. All times are monotonic and of the process's own.
///
/// When a configuration changes the voters, the former set is kept for a while: a holder needs a majority of each set
/// that it or one of its voters still knows.
#pragma once

#include "KeyOwner.h"
#include "Types.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberry {

/// How long a voter keeps a grant after it received the request.
constexpr Milliseconds keyLeaseTime { 4000 };
/// How long a holder relies on an acknowledged request after it sent it: shorter by what two clocks' rates may differ.
constexpr Milliseconds keyHoldTime { 3600 };
/// How often a holder asks again.
constexpr Milliseconds keyLeaseInterval { 500 };
/// How long a former set of voters is asked, too. After it a partition that still runs on that set is not excluded.
constexpr std::chrono::minutes formerVotersTime { 10 };

/// One run of a process on a VM.
struct LeaseHolderId {
    std::string vm;
    uint64_t incarnation = 0;
};

inline bool operator==(const LeaseHolderId& first, const LeaseHolderId& second)
{
    return first.incarnation == second.incarnation && first.vm == second.vm;
}

/// The addresses of the processes that vote, sorted.
using VoterSet = std::vector<std::string>;

/// Asks for the slots listed and gives back all others of the holder.
struct LeaseRequest {
    LeaseHolderId holder;
    uint64_t sequence = 0; ///< Grows with each request of this holder; a voter ignores late ones.
    Generation generation = 0; ///< Of the holder's configuration.
    std::string service;
    std::vector<uint32_t> slots;
};

struct LeaseReply {
    Generation generation = 0; ///< Of the voter's configuration.
    std::vector<uint32_t> granted;
    std::vector<VoterSet> formerVoters; ///< Sets that the voter still knows.
};

/// A slot's grant at a voter.
struct LeaseGrant {
    LeaseHolderId holder;
    TimePoint until {};
};

/// What a voter has promised for its service.
struct LeaseVoter {
    TimePoint startedAt {};
    std::array<LeaseGrant, keySlotCount> grants {};
    std::map<std::string, std::pair<uint64_t, uint64_t>> lastRequest; ///< By VM: incarnation and sequence.
};

/// Decides a request. A request that is late, of a lower generation or too early after the start gets no slot. Not
/// thread safe.
LeaseReply grantLease(LeaseVoter&, const LeaseRequest&, Generation ownGeneration, TimePoint now);

/// A former set of voters and what is known of it.
struct FormerVoters {
    VoterSet voters;
    TimePoint addedAt {};
    std::vector<std::string> superseded; ///< Voters that have adopted a later generation.
    std::optional<TimePoint> supersededAt; ///< When a majority of them had.
};

/// A time without a gap in which this process holds a slot.
struct KeyTenure {
    uint64_t number = 0; ///< Differs between any two tenures of a process.
    WallTime since {};
};

/// What a holder knows of its slots.
struct LeaseHolder {
    VoterSet voters;
    Generation generation = 0;
    std::vector<FormerVoters> formerVoters;
    std::array<std::map<std::string, TimePoint>, keySlotCount> sentAt; ///< By voter: send time of the last acknowledged request.
    std::array<TimePoint, keySlotCount> droppedAt {}; ///< Replies to requests sent until then say nothing.
    std::array<std::optional<KeyTenure>, keySlotCount> tenures;
    uint64_t tenureCount = 0;
};

/// Takes over the voters of a configuration; a set that goes is kept as a former one. Not thread safe.
void setVoters(LeaseHolder&, VoterSet, Generation, TimePoint now);

/// All processes that are to be asked. Not thread safe.
VoterSet votersToAsk(const LeaseHolder&);

/// Takes in a voter's reply to a request that was sent at `sentAt`. `wall` is the wall-clock time now. Not thread safe.
void takeReply(LeaseHolder&, const std::string& voter, const LeaseReply&, TimePoint sentAt, TimePoint now, WallTime wall);

/// Gives a slot up; call it before the request that no longer lists it is sent. Not thread safe.
void dropSlot(LeaseHolder&, uint32_t slot, TimePoint now);

/// The tenure in which the slot is held now; nothing when it is not. Precondition: the slot exists. Not thread safe.
std::optional<KeyTenure> findTenure(const LeaseHolder&, uint32_t slot, TimePoint now);

} // namespace bilberry
