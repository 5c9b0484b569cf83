/// Lets an engine run empty before its planned switch to other weights. An engine that is ordered to switch takes no more requests and
/// loads only when the last of the running ones has ended, so that it is away for as long as its longest answer still takes. It is
/// designed for loads under which nearly all engines are needed: shortly before the switch, an engine gets just those requests that are
/// expected to end before it, so that its slots are used until then, and the longer ones go to other engines. Functions without I/O.
#pragma once

#include "BootClock.h"
#include "Types.h"

#include <cstdint>
#include <string>

namespace bilberry {

struct ClusterView;
struct EndpointRow;
struct EnginePerformance;

/// Expected time from the start of a request at an engine, all of whose other slots are in use, until its last event. `answerTokens` is
/// the expected number of tokens in the answer. Thread safe.
Milliseconds expectedRunTime(const EnginePerformance&, uint32_t promptTokens, uint32_t answerTokens);

/// Plans, for each engine of a service with superseded weights, when its agent orders the switch, by the same function as the agent
/// (plannedDelay()). An engine that drains or serves nothing has no plan. Only the service's first model is planned. `bound` is the time
/// within which all engines must have switched; zero: none, and nothing is planned. Is to be called on each tick, for services whose
/// entries divide the engines among themselves. Not thread safe.
void planSwitches(ClusterView&, const std::string& service, Milliseconds bound);

/// How well the switch that is planned at an engine suits a request.
enum class SwitchFit : uint8_t {
    EndsSoonBefore, ///< The request is expected to end before it, or hardly after it, and it is near.
    /// None is planned, or it has been overdue for a second, or the request is expected to end well before the switch, which isn't near;
    /// also if the run time is unknown.
    Unaffected,
    Outlasts, ///< The request is expected to last beyond it.
};

/// `runTime` is that of expectedRunTime(); zero, which means unknown, suits any switch. Thread safe.
SwitchFit switchFit(const EndpointRow&, Milliseconds runTime, BootTimePoint now);

/// Whether an engine suits a request better than another one: one that switches soon after the request's end comes first, the sooner the
/// better, and of two that it outlasts the one that switches later. Thread safe.
bool suitsBetter(const EndpointRow&, const EndpointRow& other, Milliseconds runTime, BootTimePoint now);

} // namespace bilberry
