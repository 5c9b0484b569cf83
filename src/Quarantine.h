/// Tracks requests that crashed endpoints' back ends, by a fingerprint of their content. A request that crashed one back end
/// gets one more try, without other suspected requests at the endpoint; one that crashed two is refused, so that it can't
/// take down more endpoints.
#pragma once

#include "Routing.h"
#include "Types.h"

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// How long a request is suspected after it crashed one back end.
constexpr std::chrono::minutes suspicionDuration { 10 };
/// How long a request is refused after it crashed two back ends.
constexpr std::chrono::minutes refusalDuration { 60 };
/// Maximum number of fingerprints held; beyond it, those whose last crash is oldest are dropped.
constexpr size_t maxCrashRecords = 4096;

enum class QuarantineDecision : uint8_t {
    Run,
    RunAsOnlySuspect, ///< Run it only while no other suspected request runs at the endpoint: it crashed one back end.
    Refuse, ///< The request crashed two back ends.
};

/// Computes the fingerprint of a request; never zero. Thread safe.
uint64_t computeRequestFingerprint(std::string_view method, std::string_view path, std::string_view body);

/// Chooses the endpoint for the next try of a suspected request. All entries with the same routing table choose the same
/// one. `triedVms` holds the VMs that were tried already. Returns noRow when there is none. Thread safe.
RowIndex chooseEndpointForSuspect(const RoutingTable&, RowIndex service, RowIndex model, uint64_t fingerprint, const std::vector<RowIndex>& triedVms);

/// Thread safe.
class Quarantine {
public:
    /// Records that the request crashed the back end of a VM. A VM counts once until the record expires.
    void recordCrash(uint64_t fingerprint, const std::string& vm, TimePoint now);
    /// Records that the request was answered completely. It is no longer suspected, unless it crashed two back ends.
    void clearSuspicion(uint64_t fingerprint);
    QuarantineDecision checkFingerprint(uint64_t fingerprint, TimePoint now) const;
    size_t size() const;

private:
    struct CrashRecord {
        std::vector<std::string> crashedVms; ///< VMs whose back ends the request crashed; at most two.
        TimePoint lastCrashAt {};
    };

    void evictOldestRecord();

    mutable std::mutex mutex;
    std::unordered_map<uint64_t, CrashRecord> records;
};

} // namespace bilberry
