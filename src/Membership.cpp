#include "Membership.h"

namespace bilberry {

MemberState judgeMember(const MemberEvidence& evidence)
{
    if (!evidence.isConfigured)
        return MemberState::Removed;
    bool isRecent = evidence.reportAge && *evidence.reportAge <= suspicionAge;
    if (evidence.isConfiguredLeaving || evidence.reportsLeaving || evidence.isListedLeaving)
        return MemberState::Leaving;
    return isRecent ? MemberState::Active : MemberState::Suspect;
}

} // namespace bilberry
