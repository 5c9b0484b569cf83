#include "Membership.h"

namespace bilberry {

MemberState classifyMember(const MembershipSignals& evidence)
{
    if (!evidence.isConfigured)
        return MemberState::Removed;
    bool isRecent = evidence.reportAge && *evidence.reportAge <= suspicionTimeout;
    if (evidence.isConfiguredLeaving || evidence.reportsLeaving || evidence.isListedLeaving)
        return MemberState::Leaving;
    return isRecent ? MemberState::Active : MemberState::Suspect;
}

} // namespace bilberry
