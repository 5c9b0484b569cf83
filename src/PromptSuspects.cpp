#include "PromptSuspects.h"

#include "Rendezvous.h"

#include <algorithm>
#include <cassert>
#include <fmt/format.h>

namespace bilberry {

// Number of crashes that aren't cleared from which requests with a part are sent one at a time.
static constexpr size_t crashesToIsolate = 2;
// Number of crashes that aren't cleared from which requests with a part are refused.
static constexpr size_t crashesToRefuse = 3;
// Largest number of crashes that are held of one part.
static constexpr size_t maxRunsPerPart = 16;
// Largest number of parts that are held at a time.
static constexpr size_t maxSuspects = 4'000;
// Time after the last crash for which a part that isn't refused stays a suspect.
static constexpr std::chrono::minutes suspicionTime { 2 };
// Time after the last crash for which a part is refused.
static constexpr std::chrono::hours refusalTime { 1 };
// Time from the last crash to the first trial, and from one trial to the next.
static constexpr std::chrono::minutes firstTrialDelay { 1 };
static constexpr std::chrono::minutes trialInterval { 10 };
// A part is common from this share of the recent requests on, and from this number of them.
static constexpr uint32_t commonShareDivisor = 4;
static constexpr uint32_t minCommonRequests = 16;
// Number of recent requests from which all counts of them are halved.
static constexpr uint32_t maxRecentRequests = 512;

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
    bool isOfTrial = row.runs.size() >= crashesToRefuse && now - row.lastCrashAt >= firstTrialDelay;
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

static void halveRecentRequests(PromptSuspects& suspects)
{
    auto& counts = suspects.recentRequests;
    for (auto count = counts.begin(); count != counts.end();) {
        count->second /= 2;
        count = count->second == 0 ? counts.erase(count) : std::next(count);
    }
    suspects.recentTotal /= 2;
}

void noteAdmittedParts(PromptSuspects& suspects, const std::vector<uint64_t>& parts)
{
    if (parts.empty())
        return;
    for (uint64_t part : parts)
        ++suspects.recentRequests[part];
    if (++suspects.recentTotal >= maxRecentRequests)
        halveRecentRequests(suspects);
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
        Duration keptFor = row->second.runs.size() >= crashesToRefuse ? Duration(refusalTime) : Duration(suspicionTime);
        row = now - row->second.lastCrashAt > keptFor ? suspects.rows.erase(row) : std::next(row);
    }
}

bool isCommonPart(const PromptSuspects& suspects, uint64_t part)
{
    auto found = suspects.recentRequests.find(part);
    return found != suspects.recentRequests.end() && found->second >= minCommonRequests && found->second >= suspects.recentTotal / commonShareDivisor;
}

// Number of crashes that count against the part.
static size_t countCrashes(const PromptSuspects& suspects, uint64_t part)
{
    auto found = suspects.rows.find(part);
    return found == suspects.rows.end() || isCommonPart(suspects, part) ? 0 : found->second.runs.size();
}

bool isRefusedPart(const PromptSuspects& suspects, uint64_t part)
{
    return countCrashes(suspects, part) >= crashesToRefuse;
}

bool hasRefusedPart(const PromptSuspects& suspects, const std::vector<uint64_t>& parts)
{
    return std::any_of(parts.begin(), parts.end(), [&](uint64_t part) { return isRefusedPart(suspects, part); });
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
        if (!isRefusedPart(suspects, part))
            return true;
        return isTrialDueForPart(suspects.rows.at(part), now) && rankMembers(fmt::format("{:x}", part), members, 1).front() == ownIp;
    });
}

void noteTrial(PromptSuspects& suspects, const std::vector<uint64_t>& parts, TimePoint now)
{
    for (uint64_t part : parts) {
        if (isRefusedPart(suspects, part))
            suspects.rows[part].lastTrialAt = now;
    }
}

std::vector<PartEvidence> evidenceOfRefusedParts(const PromptSuspects& suspects, size_t maxCount)
{
    std::vector<PartEvidence> evidence;
    for (const auto& [part, row] : suspects.rows) {
        if (!isRefusedPart(suspects, part) || evidence.size() + crashesToRefuse > maxCount)
            continue;
        for (size_t i = 0; i < crashesToRefuse; ++i)
            evidence.push_back({ part, row.runs[i] });
    }
    return evidence;
}

} // namespace bilberry
