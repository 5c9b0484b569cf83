#include "PauseGuard.h"

namespace bilberry {

// Messages that were buffered during a pause are read within this time after it.
static constexpr Milliseconds delayedMessageWindow { 1000 };

bool isPaused(const PauseState& state, TimePoint now)
{
    return state.lastTickAt != TimePoint {} && now - state.lastTickAt > pauseThreshold;
}

void recordTick(PauseState& state, TimePoint now)
{
    if (isPaused(state, now)) {
        state.resumedAt = now;
        state.isAwaitingAnswer = true;
    }
    state.lastTickAt = now;
}

void recordAnswer(PauseState& state, TimePoint sentAt)
{
    if (sentAt >= state.resumedAt)
        state.isAwaitingAnswer = false;
}

bool mayAct(const PauseState& state, TimePoint now)
{
    if (isPaused(state, now))
        return false;
    return !state.isAwaitingAnswer || now - state.resumedAt >= answerTimeout;
}

bool PauseGuard::tick(TimePoint now)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    bool wasPaused = isPaused(this->state, now);
    recordTick(this->state, now);
    return wasPaused;
}

void PauseGuard::noteAnswer(TimePoint sentAt)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    // An answer to a message from before a pause must not end the wait, even if no tick has detected the pause yet.
    if (!isPaused(this->state, Clock::now()))
        recordAnswer(this->state, sentAt);
}

bool PauseGuard::mayAct(TimePoint now) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return bilberry::mayAct(this->state, now);
}

bool PauseGuard::mayBeDelayed(TimePoint now) const
{
    std::lock_guard<std::mutex> lock(this->mutex);
    bool hasPaused = this->state.resumedAt != TimePoint {};
    return isPaused(this->state, now) || (hasPaused && now - this->state.resumedAt < delayedMessageWindow);
}

} // namespace bilberry
