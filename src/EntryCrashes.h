/// What an entry concludes from requests that are lost with their endpoints: which endpoints crashed, and which requests and parts
/// of prompts are to blame. Functions of the loop's thread; the state is that of EntryNode.
#pragma once

#include "Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry {

struct EntryNode;

/// What this entry saw of the crash of an endpoint.
struct EndpointCrash {
    std::string endpointId;
    std::vector<uint64_t> fingerprints; ///< The requests that were lost.
    std::vector<uint64_t> promptParts; ///< The shared parts of their prompts.
};

/// Records the requests that were running at an endpoint when it crashed, and reports them to the peers.
void reportCrash(EntryNode&, const EndpointCrash&, TimePoint now);
/// Records that requests with these shared parts of their prompts were lost with an endpoint, and reports it to the peers.
void reportSuspectParts(EntryNode&, const std::vector<uint64_t>& parts, const std::string& endpointId, TimePoint now);
/// Records that a request with these shared parts of its prompt was answered, and tells the peers when that clears one.
void reportAnsweredParts(EntryNode&, const std::vector<uint64_t>& parts, TimePoint now);
/// Whether a request with these shared parts of its prompt, one of which is refused, may be sent as a trial. Records the trial.
bool tryTakePartTrial(EntryNode&, const std::vector<uint64_t>& parts, TimePoint now);

} // namespace bilberry
