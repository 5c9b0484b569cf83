#include "Quarantine.h"

#include "Rendezvous.h"

#include <algorithm>

namespace bilberry {

// Back ends that one request may crash.
static constexpr size_t maxCrashes = 2;

uint64_t fingerprintOf(std::string_view method, std::string_view path, std::string_view body)
{
    uint64_t hash = hashText(body, hashText(path, hashText(method)));
    return hash == 0 ? 1 : hash;
}

static bool canTry(const RoutingRow& row, RowIndex service, RowIndex model, const std::vector<RowIndex>& tried)
{
    if (row.service != service || !row.isReported || std::find(tried.begin(), tried.end(), row.vm) != tried.end())
        return false;
    return model == noRow || std::find(row.models.begin(), row.models.end(), model) != row.models.end();
}

RowIndex chooseForSuspect(const RoutingTable& table, RowIndex service, RowIndex model, uint64_t fingerprint, const std::vector<RowIndex>& tried)
{
    RowIndex best = noRow;
    uint64_t bestScore = 0;
    for (const auto& row : table.rows) {
        if (!canTry(row, service, model, tried))
            continue;
        uint64_t score = rendezvousScore(std::to_string(fingerprint), table.configuration->inventory.vms[row.vm].name);
        if (best == noRow || score > bestScore) {
            best = row.vm;
            bestScore = score;
        }
    }
    return best;
}

static Duration lifetimeOf(size_t crashes)
{
    return crashes >= maxCrashes ? Duration(condemnedTime) : Duration(suspicionTime);
}

void Quarantine::dropOldest()
{
    auto oldest = std::min_element(this->rows.begin(), this->rows.end(), [](const auto& first, const auto& second) {
        return first.second.lastAt < second.second.lastAt;
    });
    this->rows.erase(oldest);
}

void Quarantine::add(uint64_t fingerprint, const std::string& vm, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->rows.size() >= maxCrashRows && this->rows.count(fingerprint) == 0)
        this->dropOldest();
    Row& row = this->rows[fingerprint];
    if (now - row.lastAt >= lifetimeOf(row.vms.size()))
        row.vms.clear();
    row.lastAt = now;
    bool isKnown = std::find(row.vms.begin(), row.vms.end(), vm) != row.vms.end();
    if (!isKnown && row.vms.size() < maxCrashes)
        row.vms.push_back(vm);
}

void Quarantine::clear(uint64_t fingerprint)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->rows.find(fingerprint);
    if (found != this->rows.end() && found->second.vms.size() < maxCrashes)
        this->rows.erase(found);
}

QuarantineDecision Quarantine::decide(uint64_t fingerprint, TimePoint now) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->rows.find(fingerprint);
    if (found == this->rows.end() || now - found->second.lastAt >= lifetimeOf(found->second.vms.size()))
        return QuarantineDecision::Run;
    return found->second.vms.size() >= maxCrashes ? QuarantineDecision::Refuse : QuarantineDecision::RunAlone;
}

size_t Quarantine::size() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->rows.size();
}

} // namespace bilberry
