/// Parts of prompts that may crash the endpoints that begin to answer requests with them. Each crash makes suspects of the parts
/// of the requests that were lost with the endpoint; an answer to a request with a part clears it, since a part that crashes
/// endpoints is never answered. A part with several crashes that aren't cleared is refused. Holds state only.
#pragma once

#include "EndpointEvents.h"
#include "Types.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace bilberry {

/// Used by one thread at a time.
struct PromptSuspects {
    struct Row {
        std::vector<uint32_t> runs; ///< runHash() of the endpoints' runs that crashed since the part was last cleared, each once.
        std::vector<uint32_t> clearedRuns; ///< Those before, the latest ones.
        TimePoint lastCrashAt {}; ///< When the last crash was added.
        TimePoint lastTrialAt {}; ///< When this entry last let a request through as a trial or learned of another's; the default value if never.
    };

    std::unordered_map<uint64_t, Row> rows; ///< Rows by the part's ID.
    std::unordered_map<uint64_t, uint32_t> inFlight; ///< Number of this entry's requests at endpoints, by part.
    std::unordered_map<uint64_t, uint32_t> recentRequests; ///< Number of this entry's recent requests, by part.
    uint32_t recentTotal = 0; ///< Number of the recent requests with shared parts.
};

/// Adds the crash of an endpoint that ran a request with the part. Returns false when it is known or can't be held.
bool addPartCrash(PromptSuspects&, uint64_t part, uint32_t run, TimePoint now);
/// Clears a part that was answered. Returns whether it was a suspect.
bool clearPart(PromptSuspects&, uint64_t part);
/// Counts a request that was admitted.
void noteAdmittedParts(PromptSuspects&, const std::vector<uint64_t>& parts);
/// Counts a request that is sent to an endpoint.
void noteSentParts(PromptSuspects&, const std::vector<uint64_t>& parts);
/// Ends the count of a request that is no longer at an endpoint. Precondition: noteSentParts() was called for it.
void noteReleasedParts(PromptSuspects&, const std::vector<uint64_t>& parts);
/// Removes what is too old to matter. Is to be called on each tick.
void removeExpiredSuspects(PromptSuspects&, TimePoint now);

/// Whether the part has crashed so many endpoints that requests with it are refused. A part that is in a large share of this
/// entry's requests is never refused. Thread safe.
bool isRefusedPart(const PromptSuspects&, uint64_t part);
/// Whether any of the parts is refused. Thread safe.
bool hasRefusedPart(const PromptSuspects&, const std::vector<uint64_t>& parts);
/// Whether another request of this entry with a suspect part is in flight, so that a request with these parts has to wait.
/// Thread safe.
bool mustWaitForSuspects(const PromptSuspects&, const std::vector<uint64_t>& parts);
/// Whether a part is in so many of this entry's recent requests that crashes can't be told from its share of them.
/// Thread safe.
bool isCommonPart(const PromptSuspects&, uint64_t part);

/// Whether a request that is refused may be sent as a trial, which finds out whether its parts still crash endpoints. `entries`
/// are the other entries: one of all is chosen for each part by rendezvous hashing. Thread safe.
bool isTrialDue(const PromptSuspects&, const std::vector<uint64_t>& parts, const std::string& ownIp, const std::vector<std::string>& entries, TimePoint now);
/// Records that a request with these parts is sent as a trial.
void noteTrial(PromptSuspects&, const std::vector<uint64_t>& parts, TimePoint now);

/// Returns the crashes of the refused parts, for an entry that has just started. At most `maxCount`. Thread safe.
std::vector<PartEvidence> evidenceOfRefusedParts(const PromptSuspects&, size_t maxCount);

} // namespace bilberry
