#include "KeyHandOver.h"

#include <algorithm>

namespace bilberry {

std::optional<TenureRecord> endTenure(LeaseHolder& holder, uint32_t slot, TimePoint now)
{
    std::optional<TenureRecord> record;
    auto tenure = findTenure(holder, slot, now);
    if (tenure && holder.formerVoters.empty()) {
        record = TenureRecord { slot, tenure->since, holder.voters, {} };
        for (const auto& [voter, grant] : holder.acknowledged[slot])
            record->grants[voter] = grant.number;
    }
    dropSlot(holder, slot, now);
    return record;
}

void noteHandOver(LeaseHolder& holder, TenureRecord record)
{
    uint32_t slot = record.slot;
    holder.handedOver[slot] = std::move(record);
}

// Whether a grant of the voter came right after the former owner's.
static bool isNext(const GrantNumber& former, const GrantNumber& own)
{
    bool isSameMemory = former.memory.incarnation == own.memory.incarnation && former.memory.voterChanges == own.memory.voterChanges;
    return isSameMemory && former.number != 0 && own.number == former.number + 1;
}

static bool followsWithoutGap(const LeaseHolder& holder, const TenureRecord& former, TimePoint now)
{
    if (!holder.formerVoters.empty() || former.voters != holder.voters)
        return false;
    const auto& acknowledged = holder.acknowledged[former.slot];
    size_t proofs = 0;
    for (const auto& voter : holder.voters) {
        auto own = acknowledged.find(voter);
        auto before = former.grants.find(voter);
        bool isKnown = own != acknowledged.end() && before != former.grants.end();
        if (isKnown && now - own->second.sentAt < keyHoldTime && isNext(before->second, own->second.number))
            ++proofs;
    }
    return proofs >= majorityOf(holder.voters);
}

uint32_t continueTenures(LeaseHolder& holder, TimePoint now)
{
    uint32_t continued = 0;
    for (uint32_t slot = 0; slot < keySlotCount; ++slot) {
        auto& former = holder.handedOver[slot];
        auto& tenure = holder.tenures[slot];
        if (!former || !tenure || !isHeld(holder, slot, now) || !followsWithoutGap(holder, *former, now))
            continue;
        tenure->since = std::min(tenure->since, former->since);
        former.reset();
        ++continued;
    }
    return continued;
}

} // namespace bilberry
