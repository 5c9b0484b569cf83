#include "KeyLease.h"

#include <algorithm>

namespace bilberry {

static bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

size_t majorityOf(const VoterSet& voters)
{
    return voters.size() / 2 + 1;
}

// Whether the request is the latest of its holder; remembers it when it is.
static bool isLatestRequest(LeaseVoter& voter, const LeaseRequest& request)
{
    auto& last = voter.lastRequest[request.holder.vm];
    auto number = std::make_pair(request.holder.incarnation, request.sequence);
    if (number <= last)
        return false;
    last = number;
    return true;
}

// Grants a slot that no other holds.
static SlotGrant renewGrant(LeaseGrant& grant, const LeaseHolderId& holder, const SlotClaim& claim, TimePoint now)
{
    bool isSame = grant.number != 0 && grant.lastHolder == holder && grant.lastClaim == claim.claim;
    if (!isSame)
        ++grant.number;
    grant.holder = grant.lastHolder = holder;
    grant.lastClaim = claim.claim;
    grant.until = now + keyLeaseTime;
    return { claim.slot, grant.number };
}

LeaseReply grantLease(LeaseVoter& voter, const LeaseRequest& request, Generation ownGeneration, TimePoint now)
{
    LeaseReply reply;
    reply.generation = ownGeneration;
    reply.memory = voter.memory;
    bool isStarting = now - voter.startedAt < keyLeaseTime;
    if (isStarting || request.generation < ownGeneration || !isLatestRequest(voter, request))
        return reply;
    for (uint32_t slot = 0; slot < keySlotCount; ++slot) {
        LeaseGrant& grant = voter.grants[slot];
        bool isOwn = grant.holder == request.holder;
        auto claim = std::find_if(request.slots.begin(), request.slots.end(), [slot](const auto& row) { return row.slot == slot; });
        bool isWanted = claim != request.slots.end();
        if (isOwn && !isWanted)
            grant.holder = {};
        if (!isWanted || (!isOwn && !(grant.holder == LeaseHolderId {}) && now < grant.until))
            continue;
        reply.granted.push_back(renewGrant(grant, request.holder, *claim, now));
    }
    return reply;
}

// Returns whether the set was not known.
static bool addFormer(LeaseHolder& holder, const VoterSet& voters, TimePoint now)
{
    bool isKnown = std::any_of(holder.formerVoters.begin(), holder.formerVoters.end(), [&](const auto& former) { return former.voters == voters; });
    const auto& ended = holder.endedVoters;
    bool isEnded = std::find(ended.begin(), ended.end(), voters) != ended.end();
    if (isKnown || isEnded || voters.empty() || voters == holder.voters)
        return false;
    holder.formerVoters.push_back({ voters, now, {}, std::nullopt });
    return true;
}

void setVoters(LeaseHolder& holder, VoterSet voters, Generation generation, TimePoint now)
{
    if (generation <= holder.generation)
        return;
    holder.generation = generation;
    holder.endedVoters.clear();
    std::sort(voters.begin(), voters.end());
    if (voters == holder.voters)
        return;
    VoterSet previous = std::move(holder.voters);
    holder.voters = std::move(voters);
    ++holder.voterChanges;
    addFormer(holder, previous, now);
    // A set that comes back is a current one; what was heard of the others holds for the generation before only.
    auto& sets = holder.formerVoters;
    sets.erase(std::remove_if(sets.begin(), sets.end(), [&](const auto& former) { return former.voters == holder.voters; }), sets.end());
    for (auto& former : sets) {
        former.superseded.clear();
        former.supersededAt.reset();
    }
}

VoterSet votersToAsk(const LeaseHolder& holder)
{
    VoterSet all = holder.voters;
    for (const auto& former : holder.formerVoters)
        all.insert(all.end(), former.voters.begin(), former.voters.end());
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    return all;
}

// Send time of the oldest request that a majority has acknowledged; nothing when no majority has.
static std::optional<TimePoint> majoritySentAt(const std::map<std::string, AcknowledgedGrant>& acknowledged, const VoterSet& voters)
{
    std::vector<TimePoint> times;
    for (const auto& voter : voters) {
        auto found = acknowledged.find(voter);
        if (found != acknowledged.end())
            times.push_back(found->second.sentAt);
    }
    if (voters.empty() || times.size() < majorityOf(voters))
        return std::nullopt;
    std::sort(times.rbegin(), times.rend());
    return times[majorityOf(voters) - 1];
}

static bool isHeldBy(const LeaseHolder& holder, uint32_t slot, const VoterSet& voters, TimePoint now)
{
    auto sentAt = majoritySentAt(holder.acknowledged[slot], voters);
    return sentAt && now - *sentAt < keyHoldTime;
}

bool isHeld(const LeaseHolder& holder, uint32_t slot, TimePoint now)
{
    if (!isHeldBy(holder, slot, holder.voters, now))
        return false;
    return std::all_of(holder.formerVoters.begin(), holder.formerVoters.end(), [&](const auto& former) { return isHeldBy(holder, slot, former.voters, now); });
}

// Notes that a voter has left the generations in which a former set was in force.
static void noteSuperseded(LeaseHolder& holder, const std::string& voter, TimePoint now)
{
    for (auto& former : holder.formerVoters) {
        if (!contains(former.voters, voter) || contains(former.superseded, voter))
            continue;
        former.superseded.push_back(voter);
        if (former.superseded.size() == majorityOf(former.voters))
            former.supersededAt = now;
    }
}

// Forgets former sets of which a majority has moved on for one lease, and those that are too old.
static void forgetFormer(LeaseHolder& holder, TimePoint now)
{
    auto isOver = [now](const FormerVoters& former) {
        bool isSuperseded = former.supersededAt && now - *former.supersededAt >= keyLeaseTime;
        return isSuperseded || now - former.addedAt >= formerVotersTime;
    };
    auto& sets = holder.formerVoters;
    auto over = std::stable_partition(sets.begin(), sets.end(), [&](const auto& former) { return !isOver(former); });
    for (auto former = over; former != sets.end(); ++former)
        holder.endedVoters.push_back(std::move(former->voters));
    sets.erase(over, sets.end());
}

void takeReply(LeaseHolder& holder, const std::string& voter, const LeaseReply& reply, TimePoint sentAt, TimePoint now, WallTime wall)
{
    // Step 1. Tenures that lapsed are over, also when this reply renews the lease.
    for (uint32_t slot = 0; slot < keySlotCount; ++slot) {
        if (!isHeld(holder, slot, now))
            holder.tenures[slot].reset();
    }
    // Step 2. What the voter knows of voters.
    for (const auto& former : reply.formerVoters) {
        // Until now the slots were held without regard to that set.
        if (addFormer(holder, former, now))
            holder.tenures.fill(std::nullopt);
    }
    // A voter of a later generation may have skipped this one, and then tells nobody of its voters.
    if (reply.generation == holder.generation)
        noteSuperseded(holder, voter, now);
    // Step 3. The grants.
    for (const auto& grant : reply.granted) {
        if (sentAt <= holder.droppedAt[grant.slot])
            continue;
        AcknowledgedGrant& last = holder.acknowledged[grant.slot][voter];
        if (sentAt > last.sentAt)
            last = { sentAt, { reply.memory, grant.number } };
    }
    forgetFormer(holder, now);
    for (uint32_t slot = 0; slot < keySlotCount; ++slot) {
        if (!holder.tenures[slot] && isHeld(holder, slot, now))
            holder.tenures[slot] = KeyTenure { ++holder.tenureCount, wall };
    }
}

void dropSlot(LeaseHolder& holder, uint32_t slot, TimePoint now)
{
    holder.droppedAt[slot] = now;
    ++holder.claims[slot];
    holder.tenures[slot].reset();
    holder.acknowledged[slot].clear();
}

std::optional<KeyTenure> findTenure(const LeaseHolder& holder, uint32_t slot, TimePoint now)
{
    return isHeld(holder, slot, now) ? holder.tenures[slot] : std::nullopt;
}

} // namespace bilberry
