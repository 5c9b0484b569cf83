#include "Membership.h"

namespace bilberry {

MemberState classifyMember(const MembershipSignals& signals)
{
    if (!signals.isConfigured)
        return MemberState::Removed;
    bool isRecent = signals.reportAge && *signals.reportAge <= suspicionTimeout;
    if (signals.isConfiguredLeaving || signals.reportsLeaving || signals.isListedLeaving)
        return MemberState::Leaving;
    return isRecent ? MemberState::Active : MemberState::Suspect;
}

} // namespace bilberry
