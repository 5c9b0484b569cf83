#include "KeyLease.h"

#include <algorithm>

namespace bilberry {

static bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

static size_t majorityOf(const VoterSet& voters)
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

LeaseReply grantLease(LeaseVoter& voter, const LeaseRequest& request, Generation ownGeneration, TimePoint now)
{
    LeaseReply reply;
    reply.generation = ownGeneration;
    bool isStarting = now - voter.startedAt < keyLeaseTime;
    if (isStarting || request.generation < ownGeneration || !isLatestRequest(voter, request))
        return reply;
    for (uint32_t slot = 0; slot < keySlotCount; ++slot) {
        LeaseGrant& grant = voter.grants[slot];
        bool isOwn = grant.holder == request.holder;
        bool isWanted = std::find(request.slots.begin(), request.slots.end(), slot) != request.slots.end();
        if (isOwn && !isWanted)
            grant = {};
        if (!isWanted || (!isOwn && now < grant.until))
            continue;
        grant = { request.holder, now + keyLeaseTime };
        reply.granted.push_back(slot);
    }
    return reply;
}

// Returns whether the set was not known.
static bool addFormer(LeaseHolder& holder, const VoterSet& voters, TimePoint now)
{
    bool isKnown = std::any_of(holder.formerVoters.begin(), holder.formerVoters.end(), [&](const auto& former) { return former.voters == voters; });
    if (isKnown || voters.empty() || voters == holder.voters)
        return false;
    holder.formerVoters.push_back({ voters, now, {}, std::nullopt });
    return true;
}

void setVoters(LeaseHolder& holder, VoterSet voters, Generation generation, TimePoint now)
{
    if (generation <= holder.generation)
        return;
    holder.generation = generation;
    std::sort(voters.begin(), voters.end());
    if (voters == holder.voters)
        return;
    VoterSet previous = std::move(holder.voters);
    holder.voters = std::move(voters);
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
static std::optional<TimePoint> majoritySentAt(const std::map<std::string, TimePoint>& sentAt, const VoterSet& voters)
{
    std::vector<TimePoint> times;
    for (const auto& voter : voters) {
        auto found = sentAt.find(voter);
        if (found != sentAt.end())
            times.push_back(found->second);
    }
    if (voters.empty() || times.size() < majorityOf(voters))
        return std::nullopt;
    std::sort(times.rbegin(), times.rend());
    return times[majorityOf(voters) - 1];
}

static bool isHeldBy(const LeaseHolder& holder, uint32_t slot, const VoterSet& voters, TimePoint now)
{
    auto sentAt = majoritySentAt(holder.sentAt[slot], voters);
    return sentAt && now - *sentAt < keyHoldTime;
}

static bool isHeld(const LeaseHolder& holder, uint32_t slot, TimePoint now)
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
    sets.erase(std::remove_if(sets.begin(), sets.end(), isOver), sets.end());
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
    if (reply.generation >= holder.generation)
        noteSuperseded(holder, voter, now);
    // Step 3. The grants.
    for (uint32_t slot : reply.granted) {
        if (sentAt <= holder.droppedAt[slot])
            continue;
        TimePoint& last = holder.sentAt[slot][voter];
        last = std::max(last, sentAt);
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
    holder.tenures[slot].reset();
    holder.sentAt[slot].clear();
}

std::optional<KeyTenure> findTenure(const LeaseHolder& holder, uint32_t slot, TimePoint now)
{
    return isHeld(holder, slot, now) ? holder.tenures[slot] : std::nullopt;
}

} // namespace bilberry
