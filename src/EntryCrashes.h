/// What an entry concludes from requests that are lost with their endpoints: which endpoints crashed, and which requests and parts
/// of prompts are to blame. Functions of the loop's thread; the state is that of EntryNode.
#pragma once

#include "Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberry {

struct EntryNode;
struct EndpointRow;

/// Records that these requests, which were taken from the losses of the row, were lost by a crash of the endpoint, and reports it to
/// the peers. Does nothing if there are none.
void reportCrash(EntryNode&, EndpointRow&, const std::vector<uint64_t>& fingerprints, TimePoint now);
/// Finds out whether an endpoint at which requests were lost has crashed: by a connection to it and, if nothing answers, by
/// noteEndedRun(). Preconditions: needsProbe() holds; the node outlives the run of its loop.
void verifyLosses(EntryNode&, EndpointRow&);
/// Reports the crash of an endpoint with recent losses of which the store shows that the run has ended: it is no longer listed or
/// has started again. To be called after each change of an endpoint's record.
void noteEndedRun(EntryNode&, const std::string& endpointId, TimePoint now);
/// Records that requests with these shared parts of their prompts were lost with an endpoint's run, whose runHash() is given, and
/// reports it to the peers.
void reportSuspectParts(EntryNode&, const std::vector<uint64_t>& parts, uint32_t run, TimePoint now);
/// Records that a request with these shared parts of its prompt was answered, and tells the peers when that clears one.
void reportAnsweredParts(EntryNode&, const std::vector<uint64_t>& parts, TimePoint now);
/// Whether a request with these shared parts of its prompt, one of which is refused, may be sent as a trial. Records the trial.
bool tryTakePartTrial(EntryNode&, const std::vector<uint64_t>& parts, TimePoint now);

} // namespace bilberry
