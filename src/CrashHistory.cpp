#include "CrashHistory.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace bilberry {

// Number of endpoints that a request crashes before it is refused.
static constexpr size_t crashesToBlock = 3;
// Time for which a request is held responsible after its last crash.
static constexpr std::chrono::minutes retentionTime { 10 };
// Largest number of requests that are held at a time.
static constexpr size_t maxRows = 20'000;
// Losses at one endpoint that follow each other within this time count together.
static constexpr Milliseconds lossWindow { 1000 };
// Longest time from a loss to the news from the store that the endpoint's run has ended, if the endpoint crashed at the loss.
static constexpr Seconds maxTimeToRunEnd { 10 };
// Bytes that an endpoint sent before it ended arrive within this time after a loss.
static constexpr Milliseconds maxArrivalAfterLoss { 60 };
// Number of losses that show that the endpoint crashed if its VM doesn't answer a probe.
static constexpr size_t minLossesForCrash = 2;

bool CrashHistory::addReport(const CrashReport& report, TimePoint now)
{
    if (this->rows.size() >= maxRows && this->rows.count(report.fingerprint) == 0)
        return false;
    auto& row = this->rows[report.fingerprint];
    bool isKnown = std::find(row.runHashes.begin(), row.runHashes.end(), report.runHash) != row.runHashes.end();
    if (isKnown)
        return false;
    row.runHashes.push_back(report.runHash);
    row.lastCrashAt = now;
    return true;
}

void CrashHistory::removeRequest(uint64_t fingerprint)
{
    this->rows.erase(fingerprint);
}

void CrashHistory::removeExpired(TimePoint now)
{
    for (auto row = this->rows.begin(); row != this->rows.end();)
        row = now - row->second.lastCrashAt > retentionTime ? this->rows.erase(row) : std::next(row);
}

std::vector<CrashReport> reportsOfBlockedRequests(const CrashHistory& history, size_t maxCount)
{
    std::vector<CrashReport> reports;
    for (const auto& [fingerprint, row] : history.rows) {
        bool isBlocked = row.runHashes.size() >= crashesToBlock;
        if (!isBlocked || reports.size() + crashesToBlock > maxCount)
            continue;
        for (size_t i = 0; i < crashesToBlock; ++i)
            reports.push_back({ fingerprint, row.runHashes[i] });
    }
    return reports;
}

bool isBlockedForCrashes(const CrashHistory& history, uint64_t fingerprint)
{
    auto found = history.rows.find(fingerprint);
    return found != history.rows.end() && found->second.runHashes.size() >= crashesToBlock;
}

uint64_t requestFingerprint(std::string_view method, std::string_view target, std::string_view account, std::string_view body)
{
    uint64_t hash = 0;
    for (auto part : { method, target, account, body })
        hash = XXH64(part.data(), part.size(), hash + part.size() + 1);
    return hash;
}

void recordLostParts(LossRecord& record, const std::vector<uint64_t>& parts, TimePoint now)
{
    if (now - record.lastLossAt > lossWindow)
        record.promptParts.clear();
    for (uint64_t part : parts) {
        bool isKnown = std::find(record.promptParts.begin(), record.promptParts.end(), part) != record.promptParts.end();
        if (!isKnown && record.promptParts.size() < maxLostPromptParts)
            record.promptParts.push_back(part);
    }
}

void recordLoss(LossRecord& record, uint64_t fingerprint, TimePoint now)
{
    if (now - record.lastLossAt > lossWindow)
        record.fingerprints.clear();
    record.fingerprints.push_back(fingerprint);
    record.lastLossAt = now;
}

std::vector<uint64_t> takeLossesAfterRefusal(LossRecord& record, TimePoint now)
{
    auto lost = std::exchange(record.fingerprints, {});
    return now - record.lastLossAt <= lossWindow ? lost : std::vector<uint64_t>();
}

bool needsProbe(const LossRecord& record, uint32_t requestsInProgress, TimePoint heardAt)
{
    bool hasLivedOn = heardAt - record.lastLossAt > maxArrivalAfterLoss;
    return requestsInProgress == 0 && !record.fingerprints.empty() && !record.isBeingProbed && !hasLivedOn;
}

std::vector<uint64_t> takeLossesAfterProbe(LossRecord& record, ProbeResult result, uint32_t requestsInProgress)
{
    bool showsCrash = requestsInProgress == 0 && record.fingerprints.size() >= minLossesForCrash;
    if (result == ProbeResult::Unknown && !showsCrash)
        return {};
    auto lost = std::exchange(record.fingerprints, {});
    return result == ProbeResult::Accepted ? std::vector<uint64_t>() : lost;
}

std::vector<uint64_t> takeLossesOfEndedRun(LossRecord& record, TimePoint heardAt, TimePoint now)
{
    bool isExplained = now - record.lastLossAt <= maxTimeToRunEnd && heardAt <= record.lastLossAt;
    auto lost = std::exchange(record.fingerprints, {});
    return isExplained ? lost : std::vector<uint64_t>();
}

} // namespace bilberry
