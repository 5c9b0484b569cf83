/// Requests that were running when endpoints went down. One that was there at several such times is taken to be the cause,
/// and is refused. Answers a request that crashes each endpoint which runs it, and that its caller sends again.
#pragma once

#include "Types.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// A request that was lost with an endpoint.
struct CrashReport {
    uint64_t fingerprint = 0; ///< Of the request.
    uint32_t endpointHash = 0; ///< Hash of the endpoint's id.
};

/// Used by one thread at a time.
struct CrashHistory {
    struct Row {
        std::vector<uint32_t> endpointHashes; ///< That went down with it, each once.
        TimePoint lastCrashAt {};
    };

    std::unordered_map<uint64_t, Row> rows; ///< By fingerprint.

    /// Takes in a report; false when it is known already.
    bool addReport(const CrashReport&, TimePoint now);
    /// The request was answered: it isn't the cause.
    void removeRequest(uint64_t fingerprint);
    /// Forgets what is old.
    void removeExpired(TimePoint now);
};

/// Whether the request is to be refused. Thread safe.
bool isBlockedForCrashes(const CrashHistory&, uint64_t fingerprint);

/// Fingerprint of what is asked and by whom. Thread safe.
uint64_t requestFingerprint(std::string_view method, std::string_view target, std::string_view account, std::string_view body);

/// Requests lost at one endpoint in the last moments.
struct LossRecord {
    std::vector<uint64_t> fingerprints;
    TimePoint lastLossAt {};
};

/// Notes that a request was lost at an endpoint which has `stillRunning` others, or, with `wasRefused`, that the endpoint took
/// no connection. Returns the requests that went down with it, once it is clear that the endpoint did, and forgets them.
std::vector<uint64_t> recordLoss(LossRecord&, uint64_t fingerprint, uint32_t stillRunning, bool wasRefused, TimePoint now);

} // namespace bilberry
