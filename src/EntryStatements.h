/// The part of an entry that records what endpoints state about themselves in their answers (see EndpointStatement.h), tells its
/// peers which endpoints leave, and logs when an endpoint is set aside and when that ends.
///
/// The functions are to be called by the loop's thread only.
#pragma once

#include "PeerReports.h"
#include "Types.h"

#include <string>

namespace bilberry {

struct EndpointReply;
struct EntryNode;

/// The attempt on whose connection an answer arrived.
struct AnswerOrigin {
    const std::string& requestId;
    const std::string& endpointId;
    /// Start of the endpoint's run to which the request was sent, as EndpointStatement::startedAt was then.
    WallTime endpointStartedAt {};
};

/// Records what an answer states about the endpoint that it names or, without a name, about the endpoint of the connection. It
/// is to be called for each answer, also for one that isn't used. An answer of an earlier run changes nothing.
void noteStatement(EntryNode&, const EndpointReply&, const AnswerOrigin&, TimePoint now);
/// Records a peer's report that an endpoint leaves, and passes it on. `leavingRun` is a runHash().
void notePeerLeaving(EntryNode&, uint32_t leavingRun, ReportSource, TimePoint now);
/// Logs and counts the endpoints that have ceased to be set aside. Is to be called on each tick.
void logSetAsideEnds(EntryNode&, TimePoint now);

/// Hash that identifies one run of an endpoint in messages between entries. Thread safe.
uint32_t runHash(const std::string& endpointId, WallTime startedAt);

} // namespace bilberry
