/// Decides whether an entry keeps requests away from an engine because the agent on the same VM has asked for it. Pure functions
/// over plain data.
#pragma once

#include "Types.h"

#include <cstdint>

namespace bilberry {

struct EndpointRecord;
struct EngineNotice;

/// Time for which an engine that switches is withheld after the last notice that demands it. Entries pass on a repeated notice every
/// 5 s, within a second.
constexpr Milliseconds maxWithheldTime { 7000 };

/// What the agent on the same VM has asked of entries in respect of one engine. Used by one thread at a time.
struct Withholding {
    uint64_t noticeSequence = 0; ///< That of the last notice.
    TimePoint switchingUntil {}; ///< Until when no request is sent because of a version switch.
    uint32_t unusableVersion = 0; ///< Layers of up to this version aren't to be used; zero: all may be.
    WallTime unusableSince {}; ///< When the agent said so; layers of a run that started later may be used.
};

/// Records a notice. Returns false, and does nothing, if it isn't newer than the last one.
bool noteNotice(Withholding&, const EngineNotice&, TimePoint now);
/// Returns whether no request may be sent to the engine with that record. Thread safe.
bool isWithheld(const Withholding&, const EndpointRecord&, TimePoint now);

} // namespace bilberry
