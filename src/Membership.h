/// Derives the membership state of a VM from the configuration, the platform's live list and the VM's own reports. These
/// sources disagree while a VM joins, leaves or fails, because each of them lags behind by a different time.
#pragma once

#include "Types.h"

#include <optional>

namespace bilberry {

/// The state of a VM's process as this process assumes it to be.
enum class MemberState : uint8_t {
    Active, ///< It has reported recently.
    Suspect, ///< No recent report; it is chosen only when no other VM can be, and is probed occasionally.
    Leaving, ///< It takes no new work but still answers.
    Removed, ///< It is not in the configuration.
};

/// What each source says of one VM. A source that is missing leaves the default value.
struct MembershipSignals {
    bool isConfigured = false;
    bool isListed = false; ///< The platform's live list contains the VM. It doesn't affect classifyMember().
    bool isListedLeaving = false; ///< The live list has the VM in the state `leaving`.
    bool isConfiguredLeaving = false; ///< The operators are removing the VM.
    std::optional<Duration> reportAge; ///< Age of the VM's last report, received directly or through a peer.
    bool reportsLeaving = false; ///< The VM's last report says that it is leaving.
};

/// A VM whose last report is older than this becomes suspect.
constexpr Milliseconds suspicionTimeout { 5000 };
/// A watcher of the configuration service whose last report is older than this is replaced. The limit is shorter, since an
/// extra watcher costs little.
constexpr Milliseconds watcherSuspicionTimeout { 2000 };
/// Rows of the fleet table are dropped when no report has refreshed them for this time.
constexpr Milliseconds rowLifetime { 60'000 };

/// Combines the sources in this order of precedence: a VM outside the configuration is removed, whatever the other
/// sources say. One source that says leaving suffices, whatever the others say: if it is wrong, capacity is lost but no
/// request fails. A recent report of the VM itself outweighs the live list, which lags. A VM without a recent report is
/// suspect, even when the live list says that it is live. Thread safe.
MemberState classifyMember(const MembershipSignals&);

} // namespace bilberry
