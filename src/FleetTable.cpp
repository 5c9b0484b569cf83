#include "FleetTable.h"

namespace bilberry {

bool supersedes(const VmStatus& offered, Duration offeredAge, const FleetRow& held, TimePoint now)
{
    if (offered.incarnation == held.status.incarnation)
        return offered.sequence > held.status.sequence;
    // A later process of the VM has a higher incarnation, unless the VM's clock was stepped back. The report with the lower
    // incarnation is then accepted only after the higher one has not been refreshed for incarnationReplacementDelay.
    TimePoint offeredReportedAt = now - offeredAge;
    if (offered.incarnation > held.status.incarnation)
        return offeredReportedAt > held.reportedAt - incarnationReplacementDelay;
    return offeredReportedAt > held.reportedAt + incarnationReplacementDelay;
}

MergeResult FleetTable::merge(const VmStatus& status, Duration age, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->table.find(status.vm);
    if (found == this->table.end()) {
        if (this->table.size() >= maxFleetRows)
            return MergeResult::Full;
        this->table.emplace(status.vm, FleetRow { status, now - age, now });
        return MergeResult::Newer;
    }
    FleetRow& row = found->second;
    if (supersedes(status, age, row, now)) {
        row = { status, now - age, now };
        return MergeResult::Newer;
    }
    if (status.incarnation != row.status.incarnation || status.sequence != row.status.sequence)
        return MergeResult::Older;
    if (now - age > row.reportedAt) {
        row.reportedAt = now - age;
        row.status.requestsInProgress = status.requestsInProgress;
    }
    return MergeResult::Same;
}

void FleetTable::refresh(const std::string& vm, uint32_t inProgress, TimePoint reportedAt)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->table.find(vm);
    if (found == this->table.end() || reportedAt <= found->second.reportedAt)
        return;
    found->second.reportedAt = reportedAt;
    found->second.status.requestsInProgress = inProgress;
}

std::optional<FleetRow> FleetTable::find(const std::string& vm) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->table.find(vm);
    if (found == this->table.end())
        return std::nullopt;
    return found->second;
}

void FleetTable::visitRow(const std::string& vm, const std::function<void(const FleetRow&)>& reader) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->table.find(vm);
    if (found != this->table.end())
        reader(found->second);
}

std::optional<ReportSummary> FleetTable::reportSummary(const std::string& vm) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->table.find(vm);
    if (found == this->table.end())
        return std::nullopt;
    const FleetRow& row = found->second;
    return ReportSummary { row.reportedAt, row.status.incarnation, row.status.isLeaving, row.status.isConfigurationServiceUnreachable };
}

std::vector<FleetRow> FleetTable::rows() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<FleetRow> copies;
    copies.reserve(this->table.size());
    for (const auto& [name, row] : this->table)
        copies.push_back(row);
    return copies;
}

size_t FleetTable::size() const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->table.size();
}

void FleetTable::expire(TimePoint now, Duration limit)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (auto position = this->table.begin(); position != this->table.end();) {
        bool isOld = now - position->second.reportedAt > limit;
        position = isOld ? this->table.erase(position) : std::next(position);
    }
}

} // namespace bilberry
