/// Requests that crashed endpoints' back ends, by a fingerprint of what was asked: one that crashed a back end gets one
/// more try, alone; one that crashed two is refused for good.
#pragma once

#include "Routing.h"
#include "Types.h"

#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// How long a request is suspected after one crash, and refused after two.
constexpr std::chrono::minutes suspicionDuration { 10 };
constexpr std::chrono::minutes refusalDuration { 60 };
/// Fingerprints held at a time; beyond it the ones that were reported first are dropped.
constexpr size_t maxCrashRecords = 4096;

enum class QuarantineDecision : uint8_t {
    Run,
    RunAlone, ///< It crashed one back end.
    Refuse, ///< It crashed two.
};

/// Fingerprint of a request; never zero. Thread safe.
uint64_t computeRequestFingerprint(std::string_view method, std::string_view path, std::string_view body);

/// The endpoint that gets the further try of a suspected request: all entries with the same view choose the same one.
/// `tried` are VMs that were asked; noRow when there is none. Thread safe.
RowIndex chooseEndpointForSuspect(const RoutingTable&, RowIndex service, RowIndex model, uint64_t fingerprint, const std::vector<RowIndex>& tried);

/// Thread safe.
class Quarantine {
public:
    /// Takes in that the request crashed the back end of a VM. The same VM counts once in a while.
    void recordCrash(uint64_t fingerprint, const std::string& vm, TimePoint now);
    /// Takes in that the request was answered whole; it is no longer suspected, unless it crashed two.
    void clearSuspicion(uint64_t fingerprint);
    QuarantineDecision checkFingerprint(uint64_t fingerprint, TimePoint now) const;
    size_t size() const;

private:
    struct CrashRecord {
        std::vector<std::string> crashedVms; ///< At most two.
        TimePoint lastCrashAt {};
    };

    void evictOldestRecord();

    mutable std::mutex mutex;
    std::unordered_map<uint64_t, CrashRecord> records;
};

} // namespace bilberry
