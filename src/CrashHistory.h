/// Requests that were running when endpoints crashed. A request that was present at several crashes is taken to be their cause
/// and is refused. This guards against a request that crashes each endpoint that runs it and that its caller sends again.
#pragma once

#include "ConnectionProbe.h"
#include "Types.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// A request that was lost when an endpoint crashed.
struct CrashReport {
    uint64_t fingerprint = 0; ///< Result of requestFingerprint().
    uint32_t runHash = 0; ///< runHash() of the endpoint's run that crashed: an endpoint may come back under its former ID.
};

/// Used by one thread at a time.
struct CrashHistory {
    struct Row {
        std::vector<uint32_t> runHashes; ///< Hashes of the endpoints' runs that crashed while they ran the request, each once.
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

/// Returns the reports of requests that must be refused, for an entry that has just started. At most `maxCount`. Thread safe.
std::vector<CrashReport> reportsOfBlockedRequests(const CrashHistory&, size_t maxCount);

/// Requests that were lost at one run of an endpoint within a short time. A record is used by one thread at a time.
struct LossRecord {
    std::vector<uint64_t> fingerprints;
    WallTime runStartedAt {}; ///< Start of the run at which they were lost, as in EndpointStatement.
    bool isBeingProbed = false; ///< Whether a probe of the endpoint is under way that shows whether it crashed.
    std::vector<uint64_t> promptParts; ///< Ids of the shared parts of their prompts, each once; at most maxLostPromptParts.
    TimePoint lastLossAt {};
};

/// Largest number of parts of prompts in a record.
constexpr size_t maxLostPromptParts = 32;

/// Adds the shared parts of a lost request's prompt. Is to be called before recordLoss() for the same request.
void recordLostParts(LossRecord&, const std::vector<uint64_t>& parts, TimePoint now);

/// Records that a request was lost at the endpoint. Whether the endpoint crashed is known only after a probe.
void recordLoss(LossRecord&, uint64_t fingerprint, TimePoint now);
/// Returns the fingerprints of the requests that were lost with an endpoint which now accepts no connection for a request, and
/// removes them from the record. None if the last loss is too long ago. The parts of their prompts are left for the caller.
std::vector<uint64_t> takeLossesAfterRefusal(LossRecord&, TimePoint now);
/// Whether the losses call for a probe: not while other requests are in progress at the endpoint, whose ends will tell more, not
/// during a probe, and not if the endpoint, last heard at `heardAt`, has lived on after them. Thread safe.
bool needsProbe(const LossRecord&, uint32_t requestsInProgress, TimePoint heardAt);
/// Returns the fingerprints of the requests that were lost by a crash that a probe of their endpoint shows, and removes them from
/// the record, as it does where the endpoint is alive. If the probe shows neither, several losses are a crash unless other requests
/// are in progress at the endpoint; else they stay in the record.
std::vector<uint64_t> takeLossesAfterProbe(LossRecord&, ProbeResult, uint32_t requestsInProgress);
/// Returns the fingerprints of the requests that were lost at a run of which the store now shows that it has ended, and removes
/// them from the record. None if the losses are too old for that, or if the endpoint has sent anything after them, at `heardAt`.
std::vector<uint64_t> takeLossesOfEndedRun(LossRecord&, TimePoint heardAt, TimePoint now);

} // namespace bilberry
