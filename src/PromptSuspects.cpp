#include "PromptSuspects.h"

#include "Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace bilberry {

// Number of crashes that aren't cleared from which requests with a part are sent one at a time.
static constexpr size_t crashesToIsolate = 2;
// Number of crashes that aren't cleared from which a part is accused.
static constexpr size_t crashesToAccuse = 3;
// Number of crashes of a part from which it may explain those of another one.
static constexpr size_t crashesToExplain = 2;
// Number of crashes that no other part explains from which a part is taken to be their cause. Endpoints are also lost for
// other reasons, so that one isn't enough.
static constexpr size_t crashesBeyondOthers = 2;
// Largest number of crashes that are held of one part.
static constexpr size_t maxRunsPerPart = 16;
// Largest number of parts that are held at a time.
static constexpr size_t maxSuspects = 4'000;
// Time after the last crash for which a part that isn't refused stays a suspect.
static constexpr std::chrono::minutes suspicionTime { 2 };
// Time after the last crash for which a part is refused.
static constexpr std::chrono::hours refusalTime { 1 };
// Time from the last crash to the first trial, and from one trial to the next. The first one comes soon: the endpoints may have been
// lost for another reason.
static constexpr Seconds firstTrialDelay { 5 };
static constexpr std::chrono::minutes trialInterval { 10 };

static bool contains(const std::vector<uint32_t>& hashes, uint32_t hash)
{
    return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

bool addPartCrash(PromptSuspects& suspects, uint64_t part, uint32_t run, TimePoint now)
{
    if (suspects.rows.size() >= maxSuspects && suspects.rows.count(part) == 0)
        return false;
    auto& row = suspects.rows[part];
    bool isKnown = contains(row.runs, run) || contains(row.clearedRuns, run);
    if (isKnown)
        return false;
    if (row.runs.size() >= maxRunsPerPart)
        row.runs.erase(row.runs.begin());
    // Only a trial can bring a crash so long after the last one.
    bool isOfTrial = row.runs.size() >= crashesToAccuse && now - row.lastCrashAt >= firstTrialDelay;
    if (isOfTrial)
        row.lastTrialAt = now;
    row.runs.push_back(run);
    row.lastCrashAt = now;
    return true;
}

bool clearPart(PromptSuspects& suspects, uint64_t part)
{
    auto found = suspects.rows.find(part);
    if (found == suspects.rows.end() || found->second.runs.empty())
        return false;
    auto& row = found->second;
    auto& cleared = row.clearedRuns;
    cleared.insert(cleared.end(), row.runs.begin(), row.runs.end());
    if (cleared.size() > maxRunsPerPart)
        cleared.erase(cleared.begin(), cleared.end() - maxRunsPerPart);
    row.runs.clear();
    row.lastTrialAt = TimePoint();
    return true;
}

void noteSentParts(PromptSuspects& suspects, const std::vector<uint64_t>& parts)
{
    for (uint64_t part : parts)
        ++suspects.inFlight[part];
}

void noteReleasedParts(PromptSuspects& suspects, const std::vector<uint64_t>& parts)
{
    for (uint64_t part : parts) {
        auto found = suspects.inFlight.find(part);
        assert(found != suspects.inFlight.end() && found->second > 0);
        if (--found->second == 0)
            suspects.inFlight.erase(found);
    }
}

void removeExpiredSuspects(PromptSuspects& suspects, TimePoint now)
{
    for (auto row = suspects.rows.begin(); row != suspects.rows.end();) {
        Duration keptFor = row->second.runs.size() >= crashesToAccuse ? Duration(refusalTime) : Duration(suspicionTime);
        row = now - row->second.lastCrashAt > keptFor ? suspects.rows.erase(row) : std::next(row);
    }
}

// Number of crashes that count against the part.
static size_t countCrashes(const PromptSuspects& suspects, uint64_t part)
{
    auto found = suspects.rows.find(part);
    return found == suspects.rows.end() ? 0 : found->second.runs.size();
}

static bool isAccused(const PromptSuspects& suspects, uint64_t part)
{
    return countCrashes(suspects, part) >= crashesToAccuse;
}

// Whether nearly all crashes of the part were also crashes of parts with several that aren't among `parts`. Precondition: the part has a
// row.
static bool areCrashesExplainedWithout(const PromptSuspects& suspects, uint64_t part, const std::vector<uint64_t>& parts)
{
    auto unexplained = suspects.rows.at(part).runs;
    for (const auto& [other, row] : suspects.rows) {
        bool isOutside = std::find(parts.begin(), parts.end(), other) == parts.end();
        if (!isOutside || countCrashes(suspects, other) < crashesToExplain)
            continue;
        auto isExplained = [runs = &row.runs](uint32_t run) { return contains(*runs, run); };
        unexplained.erase(std::remove_if(unexplained.begin(), unexplained.end(), isExplained), unexplained.end());
        if (unexplained.size() < crashesBeyondOthers)
            return true;
    }
    return false;
}

bool hasRefusedPart(const PromptSuspects& suspects, const std::vector<uint64_t>& parts)
{
    return std::any_of(parts.begin(), parts.end(), [&](uint64_t part) { return isAccused(suspects, part) && !areCrashesExplainedWithout(suspects, part, parts); });
}

bool isRefusedPart(const PromptSuspects& suspects, uint64_t part)
{
    return hasRefusedPart(suspects, { part });
}

std::vector<uint64_t> accusedBeside(const PromptSuspects& suspects, uint64_t part)
{
    std::vector<uint64_t> accused;
    auto found = suspects.rows.find(part);
    if (found == suspects.rows.end())
        return accused;
    auto isShared = [&](uint32_t run) { return contains(found->second.runs, run); };
    for (const auto& [other, row] : suspects.rows) {
        if (other != part && isAccused(suspects, other) && std::any_of(row.runs.begin(), row.runs.end(), isShared))
            accused.push_back(other);
    }
    return accused;
}

bool mustWaitForSuspects(const PromptSuspects& suspects, const std::vector<uint64_t>& parts)
{
    return std::any_of(parts.begin(), parts.end(), [&](uint64_t part) { return suspects.inFlight.count(part) != 0 && countCrashes(suspects, part) >= crashesToIsolate; });
}

static bool isTrialDueForPart(const PromptSuspects::Row& row, TimePoint now)
{
    if (row.lastTrialAt == TimePoint())
        return now - row.lastCrashAt >= firstTrialDelay;
    return now - row.lastTrialAt >= trialInterval;
}

bool isTrialDue(const PromptSuspects& suspects, const std::vector<uint64_t>& parts, const std::string& ownIp, const std::vector<std::string>& entries, TimePoint now)
{
    auto members = entries;
    members.push_back(ownIp);
    return std::all_of(parts.begin(), parts.end(), [&](uint64_t part) {
        if (!isAccused(suspects, part))
            return true;
        return isTrialDueForPart(suspects.rows.at(part), now) && rankMembers(fmt::format("{:x}", part), members, 1).front() == ownIp;
    });
}

void noteTrial(PromptSuspects& suspects, const std::vector<uint64_t>& parts, TimePoint now)
{
    for (uint64_t part : parts) {
        if (isAccused(suspects, part))
            suspects.rows[part].lastTrialAt = now;
    }
}

std::vector<PartEvidence> evidenceOfAccusedParts(const PromptSuspects& suspects, size_t maxCount)
{
    std::vector<PartEvidence> evidence;
    for (const auto& [part, row] : suspects.rows) {
        if (!isAccused(suspects, part) || evidence.size() + row.runs.size() > maxCount)
            continue;
        for (uint32_t run : row.runs)
            evidence.push_back({ part, run });
    }
    return evidence;
}

} // namespace bilberry
