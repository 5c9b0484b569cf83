#include "Quarantine.h"

#include "Rendezvous.h"

#include <algorithm>

namespace bilberry {

// Number of crashed back ends from which on a request is refused.
static constexpr size_t maxCrashesPerRequest = 2;

uint64_t computeRequestFingerprint(std::string_view method, std::string_view path, std::string_view body)
{
    uint64_t hash = hashText(body, hashText(path, hashText(method)));
    return hash == 0 ? 1 : hash;
}

static bool canServeSuspect(const RoutingRow& row, RowIndex service, RowIndex model, const std::vector<RowIndex>& triedVms)
{
    if (row.service != service || !row.hasFreshReport || std::find(triedVms.begin(), triedVms.end(), row.vm) != triedVms.end())
        return false;
    return model == noRow || std::find(row.models.begin(), row.models.end(), model) != row.models.end();
}

RowIndex chooseEndpointForSuspect(const RoutingTable& table, RowIndex service, RowIndex model, uint64_t fingerprint, const std::vector<RowIndex>& triedVms)
{
    RowIndex best = noRow;
    uint64_t bestScore = 0;
    for (const auto& row : table.rows) {
        if (!canServeSuspect(row, service, model, triedVms))
            continue;
        uint64_t score = rendezvousScore(std::to_string(fingerprint), table.configuration->inventory.vms[row.vm].name);
        if (best == noRow || score > bestScore) {
            best = row.vm;
            bestScore = score;
        }
    }
    return best;
}

static Duration crashRecordLifetime(size_t crashes)
{
    return crashes >= maxCrashesPerRequest ? Duration(refusalDuration) : Duration(suspicionDuration);
}

void Quarantine::evictOldestRecord()
{
    auto oldest = std::min_element(this->records.begin(), this->records.end(), [](const auto& first, const auto& second) {
        return first.second.lastCrashAt < second.second.lastCrashAt;
    });
    this->records.erase(oldest);
}

void Quarantine::recordCrash(uint64_t fingerprint, const std::string& vm, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->records.size() >= maxCrashRecords && this->records.count(fingerprint) == 0)
        this->evictOldestRecord();
    CrashRecord& record = this->records[fingerprint];
    if (now - record.lastCrashAt >= crashRecordLifetime(record.crashedVms.size()))
        record.crashedVms.clear();
    record.lastCrashAt = now;
    bool isVmRecorded = std::find(record.crashedVms.begin(), record.crashedVms.end(), vm) != record.crashedVms.end();
    if (!isVmRecorded && record.crashedVms.size() < maxCrashesPerRequest)
        record.crashedVms.push_back(vm);
}

void Quarantine::clearSuspicion(uint64_t fingerprint)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->records.find(fingerprint);
    if (found != this->records.end() && found->second.crashedVms.size() < maxCrashesPerRequest)
        this->records.erase(found);
}

QuarantineDecision Quarantine::checkFingerprint(uint64_t fingerprint, TimePoint now) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->records.find(fingerprint);
    if (found == this->records.end() || now - found->second.lastCrashAt >= crashRecordLifetime(found->second.crashedVms.size()))
        return QuarantineDecision::Run;
    return found->second.crashedVms.size() >= maxCrashesPerRequest ? QuarantineDecision::Refuse : QuarantineDecision::RunAsOnlySuspect;
}

size_t Quarantine::size() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->records.size();
}

} // namespace bilberry
