/// Requests that were running when endpoints crashed. A request that was present at several crashes is taken to be their cause
/// and is refused. This guards against a request that crashes each endpoint that runs it and that its caller sends again.
#pragma once

#include "Types.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// A request that was lost when an endpoint crashed.
struct CrashReport {
    uint64_t fingerprint = 0; ///< Result of requestFingerprint().
    uint32_t endpointHash = 0; ///< Hash of the endpoint's ID.
};

/// Used by one thread at a time.
struct CrashHistory {
    struct Row {
        std::vector<uint32_t> endpointHashes; ///< Hashes of the endpoints that crashed while they ran the request, each once.
        TimePoint lastCrashAt {}; ///< When the last of these crashes was reported.
    };

    std::unordered_map<uint64_t, Row> rows; ///< Rows by the request's fingerprint.

    /// Adds a report. Returns false when it is already known or the history is full.
    bool addReport(const CrashReport&, TimePoint now);
    /// Removes a request that was answered and therefore isn't the cause of crashes.
    void removeRequest(uint64_t fingerprint);
    /// Removes requests whose last crash is too long ago.
    void removeExpired(TimePoint now);
};

/// Whether the request must be refused as the cause of crashes. Thread safe.
bool isBlockedForCrashes(const CrashHistory&, uint64_t fingerprint);

/// Fingerprint of a request's content and of its client account. Thread safe.
uint64_t requestFingerprint(std::string_view method, std::string_view target, std::string_view account, std::string_view body);

/// Requests that were lost at one endpoint within a short time.
struct LossRecord {
    std::vector<uint64_t> fingerprints;
    std::vector<uint64_t> promptParts; ///< Ids of the shared parts of their prompts, each once; at most maxLostPromptParts.
    TimePoint lastLossAt {};
};

/// Largest number of parts of prompts in a record.
constexpr size_t maxLostPromptParts = 32;

/// Adds the shared parts of a lost request's prompt. Is to be called before recordLoss() for the same request. A record is
/// used by one thread at a time.
void recordLostParts(LossRecord&, const std::vector<uint64_t>& parts, TimePoint now);

/// Records that an attempt at an endpoint was lost. `remainingRequestCount` is the number of other requests in flight there.
/// With `isConnectionRefused`, no request was lost, but the endpoint accepted no connection. Once the losses show that the
/// endpoint crashed, returns the fingerprints of the requests that were lost with it, and removes them from the record; the
/// parts of their prompts are left for the caller to take. A record is used by one thread at a time.
std::vector<uint64_t> recordLoss(LossRecord&, uint64_t fingerprint, uint32_t remainingRequestCount, bool isConnectionRefused, TimePoint now);

} // namespace bilberry
