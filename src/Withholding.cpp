#include "Withholding.h"

#include "EndpointRecord.h"
#include "PeerMessage.h"

#include <algorithm>

namespace bilberry {

bool noteNotice(Withholding& state, const EngineNotice& notice, TimePoint now)
{
    if (notice.sequence <= state.noticeSequence)
        return false;
    state.noticeSequence = notice.sequence;
    if (notice.version != 0) {
        state.switchingUntil = TimePoint();
        state.unusableVersion = 0;
    } else if (notice.unusableVersion != 0) {
        state.unusableVersion = notice.unusableVersion;
        state.unusableSince = WallTime(Milliseconds(notice.sequence));
    } else {
        state.switchingUntil = now + maxWithheldTime;
    }
    return true;
}

bool isWithheld(const Withholding& state, const EndpointRecord& record, TimePoint now)
{
    if (now < state.switchingUntil)
        return true;
    auto loadedVersion = std::max(record.loadedLayersVersion, record.notifiedVersion);
    return loadedVersion <= state.unusableVersion && state.unusableVersion != 0 && record.startedAt <= state.unusableSince;
}

} // namespace bilberry
