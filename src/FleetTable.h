/// What this process has heard of the others: one row a VM, newest report wins, every row ages.
#pragma once

#include "VmStatus.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// A VM's own report and when it was made, by this process's clock.
struct FleetRow {
    VmStatus status;
    TimePoint reportedAt; ///< When the VM last said so, by this process's clock.
    TimePoint changedAt; ///< When this process took over the content.
};

/// What most readers need of a row, without its lists.
struct Heartbeat {
    TimePoint reportedAt;
    uint64_t incarnation = 0;
    bool isLeaving = false;
    bool lacksService = false;
};

/// Reports older than this say nothing of the present.
constexpr Milliseconds reportLifetime { 10'000 };
/// A process that started again with a lower incarnation, as after a step back of its clock, replaces a row that has
/// been silent for so long.
constexpr Milliseconds incarnationSilenceTimeout { 3000 };
/// Rows held at most, so that wrong names can't fill the memory.
constexpr size_t maxFleetRows = 4096;

/// What became of an offered report.
enum class MergeResult : uint8_t {
    Newer, ///< Taken over.
    Same, ///< The report held; its age is brought up to date.
    Older,
    Full, ///< No room for another VM.
};

/// Whether an offered report replaces the one held. Thread safe.
bool supersedes(const VmStatus& offered, Duration offeredAge, const FleetRow& held, TimePoint now);

/// Thread safe.
class FleetTable {
public:
    /// Takes the report over when it is newer than the one held. `age` is how old it is.
    MergeResult merge(const VmStatus&, Duration age, TimePoint now);
    /// Notes that the report held was still true at `reportedAt`, with this load. No effect when a fresher one is known.
    void refresh(const std::string& vm, uint32_t inProgress, TimePoint reportedAt);
    /// A copy of the row, or nothing.
    std::optional<FleetRow> find(const std::string& vm) const;
    /// Calls the function with the row, under the table's lock, when there is one.
    void visitRow(const std::string& vm, const std::function<void(const FleetRow&)>&) const;
    std::optional<Heartbeat> heartbeat(const std::string& vm) const;
    /// Copies of all rows.
    std::vector<FleetRow> rows() const;
    size_t size() const;
    /// Drops rows whose report is older than `limit`.
    void expire(TimePoint now, Duration limit);

private:
    mutable std::mutex mutex;
    std::unordered_map<std::string, FleetRow> table;
};

} // namespace bilberry
