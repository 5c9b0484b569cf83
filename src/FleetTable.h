/// What this process has heard of the others: one row a VM, newest report wins, every row ages.
#pragma once

#include "VmStatus.h"

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// A VM's own report and when it was made, by this process's clock.
struct FleetRow {
    VmStatus status;
    TimePoint reportedAt;
};

/// Reports older than this say nothing of the present.
constexpr Milliseconds reportLifetime { 5000 };

/// Thread safe.
class FleetTable {
public:
    /// Takes the report over when it is newer than the one held. `age` is how old it is. Returns whether it was newer.
    bool merge(const VmStatus&, Duration age, TimePoint now);
    /// A copy of the row, or nothing.
    std::optional<FleetRow> find(const std::string& vm) const;
    /// Copies of all rows.
    std::vector<FleetRow> rows() const;
    /// Drops rows whose report is older than `limit`.
    void expire(TimePoint now, Duration limit);

private:
    mutable std::mutex mutex;
    std::unordered_map<std::string, FleetRow> table;
};

} // namespace bilberry
