#include "CrashHistory.h"

#include <algorithm>
#include <xxhash.h>

namespace bilberry {

// Endpoints that a request takes down before it is refused.
static constexpr size_t crashesToBlock = 3;
// How long a request is held responsible after its last crash.
static constexpr std::chrono::minutes retentionTime { 10 };
// Requests held at a time.
static constexpr size_t maxRows = 20'000;
// Losses at one endpoint within that time belong together.
static constexpr Milliseconds lossWindow { 1000 };
// Losses, with nothing left running, that show an endpoint went down.
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

bool isBlockedForCrashes(const CrashHistory& ledger, uint64_t fingerprint)
{
    auto found = ledger.rows.find(fingerprint);
    return found != ledger.rows.end() && found->second.endpointHashes.size() >= crashesToBlock;
}

uint64_t requestFingerprint(std::string_view method, std::string_view target, std::string_view account, std::string_view body)
{
    uint64_t hash = 0;
    for (auto part : { method, target, account, body })
        hash = XXH64(part.data(), part.size(), hash + part.size() + 1);
    return hash;
}

std::vector<uint64_t> recordLoss(LossRecord& record, uint64_t fingerprint, uint32_t stillRunning, bool wasRefused, TimePoint now)
{
    if (now - record.lastLossAt > lossWindow)
        record.fingerprints.clear();
    if (!wasRefused) {
        record.fingerprints.push_back(fingerprint);
        record.lastLossAt = now;
    }
    bool isDown = wasRefused || (stillRunning == 0 && record.fingerprints.size() >= minLossesForCrash);
    if (!isDown)
        return {};
    auto lost = std::move(record.fingerprints);
    record.fingerprints.clear();
    return lost;
}

} // namespace bilberry
