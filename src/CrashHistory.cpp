#include "CrashHistory.h"

#include <algorithm>
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
// Number of losses, with no request left at the endpoint, that show that the endpoint crashed.
static constexpr size_t minLossesForCrash = 2;

bool CrashHistory::addReport(const CrashReport& report, TimePoint now)
{
    if (this->rows.size() >= maxRows && this->rows.count(report.fingerprint) == 0)
        return false;
    auto& row = this->rows[report.fingerprint];
    bool isKnown = std::find(row.endpointHashes.begin(), row.endpointHashes.end(), report.endpointHash) != row.endpointHashes.end();
    if (isKnown)
        return false;
    row.endpointHashes.push_back(report.endpointHash);
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

bool isBlockedForCrashes(const CrashHistory& history, uint64_t fingerprint)
{
    auto found = history.rows.find(fingerprint);
    return found != history.rows.end() && found->second.endpointHashes.size() >= crashesToBlock;
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

std::vector<uint64_t> recordLoss(LossRecord& record, uint64_t fingerprint, uint32_t remainingRequestCount, bool isConnectionRefused, TimePoint now)
{
    if (now - record.lastLossAt > lossWindow)
        record.fingerprints.clear();
    if (!isConnectionRefused) {
        record.fingerprints.push_back(fingerprint);
        record.lastLossAt = now;
    }
    bool hasCrashed = isConnectionRefused || (remainingRequestCount == 0 && record.fingerprints.size() >= minLossesForCrash);
    if (!hasCrashed)
        return {};
    auto lost = std::move(record.fingerprints);
    record.fingerprints.clear();
    return lost;
}

} // namespace bilberry
