/// A small model of a batching engine, for tests of queueing and placing: passes of steps, prompts read between them, a bounded
/// number of writers, and a queue.
#pragma once

#include "RouteTable.h"

#include <deque>
#include <vector>

namespace bilberry {

/// One request at an engine.
struct ModelledRequest {
    uint32_t promptTokens = 0;
    uint32_t answerTokens = 0;
    double sentAt = 0; ///< Milliseconds, as all times here.
    double firstEventAt = -1;
    double endedAt = -1;
    uint32_t writtenTokens = 0;
};

/// Used by one thread at a time.
struct EngineModel {
    EngineTiming times;
    std::deque<ModelledRequest*> waiting;
    std::vector<ModelledRequest*> running;
    double busyUntil = 0; ///< End of the pass that runs.

    void addRequest(ModelledRequest&);
    /// Runs all passes that begin before `now`; returns the requests that ended.
    std::vector<ModelledRequest*> advanceTo(double now);
};

} // namespace bilberry
