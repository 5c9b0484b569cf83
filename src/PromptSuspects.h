/// Parts of prompts that may crash the endpoints that begin to answer requests with them. Each crash makes suspects of the parts
/// of the requests that were lost with the endpoint; an answer to a request with a part clears it, since a part that crashes
/// endpoints is never answered. A part with several crashes that aren't cleared is accused. A request with an accused part is
/// refused, unless other parts with several crashes, which the request lacks, were at nearly all crashes of that part: then such a
/// request, sent alone, shows which of them is the cause. Holds state only.
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
};

/// Adds the crash of an endpoint that ran a request with the part. Returns false when it is known or can't be held.
bool addPartCrash(PromptSuspects&, uint64_t part, uint32_t run, TimePoint now);
/// Clears a part that was answered. Returns whether it was a suspect.
bool clearPart(PromptSuspects&, uint64_t part);
/// Counts a request that is sent to an endpoint.
void noteSentParts(PromptSuspects&, const std::vector<uint64_t>& parts);
/// Ends the count of a request that is no longer at an endpoint. Precondition: noteSentParts() was called for it.
void noteReleasedParts(PromptSuspects&, const std::vector<uint64_t>& parts);
/// Removes what is too old to matter. Is to be called on each tick.
void removeExpiredSuspects(PromptSuspects&, TimePoint now);

/// Whether a request with these parts is refused because of one of them. Thread safe.
bool hasRefusedPart(const PromptSuspects&, const std::vector<uint64_t>& parts);
/// Whether the part alone is a reason to refuse a request. Thread safe.
bool isRefusedPart(const PromptSuspects&, uint64_t part);
/// Returns the accused parts that were at one of the crashes of `part`, without itself: whether they are refused may change with it.
/// Thread safe.
std::vector<uint64_t> accusedBeside(const PromptSuspects&, uint64_t part);
/// Whether another request of this entry with a suspect part is in flight, so that a request with these parts has to wait.
/// Thread safe.
bool mustWaitForSuspects(const PromptSuspects&, const std::vector<uint64_t>& parts);

/// Whether a request that is refused may be sent as a trial, which finds out whether its parts still crash endpoints. `entries`
/// are the other entries: one of all is chosen for each part by rendezvous hashing. Thread safe.
bool isTrialDue(const PromptSuspects&, const std::vector<uint64_t>& parts, const std::string& ownIp, const std::vector<std::string>& entries, TimePoint now);
/// Records that a request with these parts is sent as a trial.
void noteTrial(PromptSuspects&, const std::vector<uint64_t>& parts, TimePoint now);

/// Returns the crashes of the accused parts, for an entry that has just started. At most `maxCount`. Thread safe.
std::vector<PartEvidence> evidenceOfAccusedParts(const PromptSuspects&, size_t maxCount);

} // namespace bilberry
