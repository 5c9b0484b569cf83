#include "FleetTable.h"

#include <tuple>

namespace bilberry {

static bool isNewer(const VmStatus& offered, const VmStatus& held)
{
    return std::tie(offered.incarnation, offered.sequence) > std::tie(held.incarnation, held.sequence);
}

bool FleetTable::merge(const VmStatus& status, Duration age, TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto [position, isNew] = this->table.try_emplace(status.vm);
    FleetRow& row = position->second;
    if (!isNew && !isNewer(status, row.status))
        return false;
    row.status = status;
    row.reportedAt = now - age;
    return true;
}

std::optional<FleetRow> FleetTable::find(const std::string& vm) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->table.find(vm);
    if (found == this->table.end())
        return std::nullopt;
    return found->second;
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

void FleetTable::expire(TimePoint now, Duration limit)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    for (auto position = this->table.begin(); position != this->table.end();) {
        bool isOld = now - position->second.reportedAt > limit;
        position = isOld ? this->table.erase(position) : std::next(position);
    }
}

} // namespace bilberry
