/// The reports that this process holds of all VMs: one row per VM with its newest report and that report's age.
#pragma once

#include "VmStatus.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// The newest report of a VM and its times, which are by this process's clock.
struct FleetRow {
    VmStatus status;
    TimePoint reportedAt; ///< When the VM last confirmed this report.
    TimePoint changedAt; ///< When this process accepted the report's content.
};

/// The fields of a row that most readers need. It leaves out the lists of served models and holdings, which are costly to
/// copy.
struct ReportSummary {
    TimePoint reportedAt;
    uint64_t incarnation = 0;
    bool isLeaving = false;
    bool lacksService = false;
};

/// Reports older than this are ignored, since they no longer describe the present state.
constexpr Milliseconds reportLifetime { 10'000 };
/// A process may restart with a lower incarnation than before, if its clock was stepped back. Its reports replace a row
/// that no report of the earlier incarnation has refreshed for this time.
constexpr Milliseconds incarnationReplacementDelay { 3000 };
/// Largest number of rows, so that wrong VM names can't exhaust the memory.
constexpr size_t maxFleetRows = 4096;

/// The result of offering a report to the table.
enum class MergeResult : uint8_t {
    Newer, ///< The report was accepted.
    Same, ///< The table already holds this report; only its age and load were updated.
    Older, ///< The table holds a newer report.
    Full, ///< The table has no room for another VM.
};

/// Returns whether an offered report replaces the one held. `offeredAge` is its age at `now`. Thread safe.
bool supersedes(const VmStatus& offered, Duration offeredAge, const FleetRow& held, TimePoint now);

/// The table of all VMs' reports, by VM name. Thread safe.
class FleetTable {
public:
    /// Accepts the report if it is newer than the one held. `age` is the report's age at `now`.
    MergeResult merge(const VmStatus&, Duration age, TimePoint now);
    /// Records that the VM confirmed the report held at `reportedAt`, with this load. Has no effect when the row is missing
    /// or fresher already.
    void refresh(const std::string& vm, uint32_t inProgress, TimePoint reportedAt);
    /// Returns a copy of the row, or nothing.
    std::optional<FleetRow> find(const std::string& vm) const;
    /// Calls the function with the row, if there is one. The table stays locked during the call, so the function must not
    /// use the table.
    void visitRow(const std::string& vm, const std::function<void(const FleetRow&)>&) const;
    /// Returns the fields of the row that most readers need, or nothing when there is no row.
    std::optional<ReportSummary> reportSummary(const std::string& vm) const;
    /// Returns copies of all rows.
    std::vector<FleetRow> rows() const;
    size_t size() const;
    /// Drops rows whose report is older than `limit`.
    void expire(TimePoint now, Duration limit);

private:
    mutable std::mutex mutex;
    std::unordered_map<std::string, FleetRow> table;
};

} // namespace bilberry
