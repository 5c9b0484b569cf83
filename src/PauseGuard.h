/// Notices that the process was paused: what it believed before may no longer hold, so it reads again before it acts.
#pragma once

#include "Types.h"

#include <mutex>

namespace bilberry {

/// A gap between ticks longer than this means that the process was paused.
constexpr Milliseconds pauseThreshold { 3000 };
/// Longest refusal of work after a pause when neither a peer nor the service answers.
constexpr Milliseconds rereadTimeout { 2000 };

struct PauseState {
    TimePoint lastTickAt {}; ///< The epoch before the first tick.
    TimePoint resumedAt {};
    bool mustReread = false;
};

/// Whether the process has not ticked for longer than the limit. False before the first tick. Thread safe.
bool isPaused(const PauseState&, TimePoint now);
/// Notes one tick; after a gap the state asks for a read.
void recordTick(PauseState&, TimePoint now);
/// Notes that a peer or the service answered a message that was sent at `sentAt`; one sent before the process went on
/// proves nothing.
void recordAnswer(PauseState&, TimePoint sentAt);
/// Whether new work may be taken: not paused, and either read again or waited out rereadLimit. Thread safe.
bool mayAct(const PauseState&, TimePoint now);

/// The state shared between threads. Thread safe.
class PauseGuard {
public:
    /// Returns whether this tick ended a pause.
    bool tick(TimePoint now);
    void noteAnswer(TimePoint sentAt);
    /// See bilberry::mayAct().
    bool mayAct(TimePoint now) const;
    /// Whether a message that arrives now may have waited in a buffer while the process was paused.
    bool mayBeDelayed(TimePoint now) const;

private:
    mutable std::mutex mutex;
    PauseState state;
};

} // namespace bilberry
