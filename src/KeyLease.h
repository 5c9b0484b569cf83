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

/// A holder's wish for one slot.
struct SlotClaim {
    uint32_t slot = 0;
    uint64_t claim = 0; ///< Grows each time the holder gives the slot up.
};

/// Asks for the slots listed and gives back all others of the holder.
struct LeaseRequest {
    LeaseHolderId holder;
    uint64_t sequence = 0; ///< Grows with each request of this holder; a voter ignores late ones.
    Generation generation = 0; ///< Of the holder's configuration.
    std::string service;
    std::vector<SlotClaim> slots;
};

/// One memory of a voter; its grants' numbers grow only within it.
struct VoterMemory {
    uint64_t incarnation = 0; ///< Of the voter's process.
    uint64_t voterChanges = 0; ///< Changes of the service's voters that the process has seen.
};

/// Numbers the grants of a slot at one voter: a grant to another holder, or for another claim, has the next number.
struct GrantNumber {
    VoterMemory memory;
    uint64_t number = 0; ///< Zero when the voter told none.
};

struct SlotGrant {
    uint32_t slot = 0;
    uint64_t number = 0;
};

struct LeaseReply {
    Generation generation = 0; ///< Of the voter's configuration.
    VoterMemory memory;
    std::vector<SlotGrant> granted;
    std::vector<VoterSet> formerVoters; ///< Sets that the voter still knows.
};

/// A slot's grant at a voter.
struct LeaseGrant {
    LeaseHolderId holder;
    TimePoint until {};
    LeaseHolderId lastHolder; ///< Also once the slot was given back.
    uint64_t lastClaim = 0;
    uint64_t number = 0; ///< See GrantNumber.
};

/// What a voter has promised for its service.
struct LeaseVoter {
    TimePoint startedAt {};
    VoterMemory memory;
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
    std::vector<std::string> superseded; ///< Voters that have adopted the holder's generation.
    std::optional<TimePoint> supersededAt; ///< When a majority of them had.
};

/// A time without a gap in which this process holds a slot.
struct KeyTenure {
    uint64_t number = 0; ///< Differs between any two tenures of a process.
    WallTime since {};
};

/// What a voter has acknowledged for a slot.
struct AcknowledgedGrant {
    TimePoint sentAt {}; ///< Send time of the last request.
    GrantNumber number;
};

/// What the former owner of a slot tells its successor of its tenure (KeyHandOver.h).
struct TenureRecord {
    uint32_t slot = 0;
    WallTime since {};
    VoterSet voters;
    std::map<std::string, GrantNumber> grants; ///< By voter: the grants of the tenure.
};

/// What a holder knows of its slots.
struct LeaseHolder {
    VoterSet voters;
    Generation generation = 0;
    std::vector<FormerVoters> formerVoters;
    std::vector<VoterSet> endedVoters; ///< Former sets forgotten in this generation; peers may still tell of them.
    std::array<std::map<std::string, AcknowledgedGrant>, keySlotCount> acknowledged; ///< By voter.
    std::array<uint64_t, keySlotCount> claims {}; ///< How often each slot was given up.
    std::array<TimePoint, keySlotCount> droppedAt {}; ///< Replies to requests sent until then say nothing.
    std::array<std::optional<KeyTenure>, keySlotCount> tenures;
    std::array<std::optional<TenureRecord>, keySlotCount> handedOver; ///< Told by former owners, not used yet.
    uint64_t tenureCount = 0;
    uint64_t voterChanges = 0;
};

/// Takes over the voters of a configuration; a set that goes is kept as a former one. Not thread safe.
void setVoters(LeaseHolder&, VoterSet, Generation, TimePoint now);

/// Voters of a set that are needed for a grant. Thread safe.
size_t majorityOf(const VoterSet&);

/// All processes that are to be asked. Not thread safe.
VoterSet votersToAsk(const LeaseHolder&);

/// Takes in a voter's reply to a request that was sent at `sentAt`. `wall` is the wall-clock time now. Not thread safe.
void takeReply(LeaseHolder&, const std::string& voter, const LeaseReply&, TimePoint sentAt, TimePoint now, WallTime wall);

/// Whether a majority of each set of voters that the holder knows has acknowledged the slot lately. Not thread safe.
bool isHeld(const LeaseHolder&, uint32_t slot, TimePoint now);

/// Gives a slot up; call it before the request that no longer lists it is sent. Not thread safe.
void dropSlot(LeaseHolder&, uint32_t slot, TimePoint now);

/// The tenure in which the slot is held now; nothing when it is not. Precondition: the slot exists. Not thread safe.
std::optional<KeyTenure> findTenure(const LeaseHolder&, uint32_t slot, TimePoint now);

} // namespace bilberry
