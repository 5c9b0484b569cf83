/// Detects that the process was paused, for instance by a suspended VM. Its state from before the pause may be stale, so
/// it takes no new work until a peer or the configuration service has answered again.
#pragma once

#include "Types.h"

#include <mutex>

namespace bilberry {

/// A gap between ticks longer than this means that the process was paused.
constexpr Milliseconds pauseThreshold { 3000 };
/// Longest time for which work is refused after a pause when neither a peer nor the service answers.
constexpr Milliseconds answerTimeout { 2000 };

/// The state of pause detection. A time is the clock's epoch until the event has happened.
struct PauseState {
    TimePoint lastTickAt {}; ///< When the process last ticked.
    TimePoint resumedAt {}; ///< When the first tick after the last pause happened.
    bool isAwaitingAnswer = false; ///< No peer or service has answered since the last pause.
};

/// Returns whether the process has not ticked for longer than pauseThreshold; false before the first tick. Thread safe.
bool isPaused(const PauseState&, TimePoint now);
/// Records one tick. If it ends a pause, the state requires an answer of a peer or the service.
void recordTick(PauseState&, TimePoint now);
/// Records that a peer or the service answered a message that was sent at `sentAt`. An answer to a message sent before the
/// process resumed is ignored, since it may be stale.
void recordAnswer(PauseState&, TimePoint sentAt);
/// Returns whether new work may be taken: the process is not paused, and either a peer or the service has answered since
/// the last pause, or answerTimeout has passed. Thread safe.
bool mayAct(const PauseState&, TimePoint now);

/// Pause detection that threads share. Thread safe.
class PauseGuard {
public:
    /// Records one tick. Returns whether it ended a pause.
    bool tick(TimePoint now);
    /// Records an answer as recordAnswer() does, but ignores it while the process counts as paused.
    void noteAnswer(TimePoint sentAt);
    /// See bilberry::mayAct().
    bool mayAct(TimePoint now) const;
    /// Returns whether a message that arrives now may have waited in a buffer while the process was paused, which
    /// is assumed for 1 s after a pause.
    bool mayBeDelayed(TimePoint now) const;

private:
    mutable std::mutex mutex;
    PauseState state;
};

} // namespace bilberry
