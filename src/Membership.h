/// One view of a VM from the configuration, the platform's live list and the reports of the VM itself.
#pragma once

#include "Types.h"

#include <optional>

namespace bilberry {

/// What is believed of a VM's process.
enum class MemberState : uint8_t {
    Active, ///< It reports.
    Suspect, ///< Nothing was heard of late; not chosen while others can be, and probed now and then.
    Leaving, ///< It takes no new work; it still answers.
    Removed, ///< Not in the configuration.
};

/// The sources, each with what it says; absent ones say nothing.
struct MembershipSignals {
    bool isConfigured = false;
    bool isListed = false; ///< The live list has it as live.
    bool isListedLeaving = false;
    bool isConfiguredLeaving = false; ///< The operators are removing it.
    std::optional<Duration> reportAge; ///< Age of its last report, by whatever way it came.
    bool reportsLeaving = false;
};

/// A report older than this makes a VM suspect.
constexpr Milliseconds suspicionTimeout { 5000 };
/// Watchers are replaced earlier, since one too many costs little.
constexpr Milliseconds watcherSuspicionTimeout { 2000 };
/// Rows without a report for so long are dropped.
constexpr Milliseconds rowLifetime { 60'000 };

/// Joins the sources. Precedence: a VM outside the configuration is removed whatever else says; any source that says
/// leaving wins over all that say live, since a wrong one costs capacity and not a request; then a recent report of
/// its own wins over the lagging list; then silence makes it suspect, also when the list has it as live. Thread safe.
MemberState classifyMember(const MembershipSignals&);

} // namespace bilberry
