// A request that crashes back ends must crash at most two, whichever entry retries it. A request that only ran at the same
// time must soon stop being suspected.
#define BOOST_TEST_MODULE Quarantine
#include "Quarantine.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

using namespace bilberry;

// Tries come in any order. Each one checks the quarantine first, and a crash is recorded before the next try.
RC_BOOST_PROP(atMostTwoBackEndsCrash, (const std::vector<uint8_t>& tries))
{
    Quarantine quarantine;
    TimePoint now { std::chrono::hours(1) };
    std::set<std::string> crashedVms;
    for (uint8_t vm : tries) {
        now += Seconds(vm);
        if (quarantine.checkFingerprint(7, now) == QuarantineDecision::Refuse || now > TimePoint(std::chrono::hours(1)) + suspicionDuration)
            continue;
        crashedVms.insert(std::to_string(vm));
        quarantine.recordCrash(7, std::to_string(vm), now);
    }
    RC_ASSERT(crashedVms.size() <= 2);
}

BOOST_AUTO_TEST_CASE(suspicionEnds)
{
    Quarantine quarantine;
    TimePoint now { std::chrono::hours(1) };
    BOOST_TEST((quarantine.checkFingerprint(1, now) == QuarantineDecision::Run));
    quarantine.recordCrash(1, "a", now);
    quarantine.recordCrash(1, "a", now);
    BOOST_TEST((quarantine.checkFingerprint(1, now) == QuarantineDecision::RunAsOnlySuspect));
    BOOST_TEST((quarantine.checkFingerprint(1, now + suspicionDuration) == QuarantineDecision::Run));
    quarantine.clearSuspicion(1);
    BOOST_TEST((quarantine.checkFingerprint(1, now) == QuarantineDecision::Run));
    quarantine.recordCrash(2, "a", now);
    quarantine.recordCrash(2, "b", now);
    quarantine.clearSuspicion(2);
    BOOST_TEST((quarantine.checkFingerprint(2, now + suspicionDuration) == QuarantineDecision::Refuse));
    BOOST_TEST((quarantine.checkFingerprint(2, now + refusalDuration) == QuarantineDecision::Run));
    for (uint64_t fingerprint = 10; fingerprint < 10 + 2 * maxCrashRecords; ++fingerprint)
        quarantine.recordCrash(fingerprint, "a", now + Seconds(1));
    BOOST_TEST(quarantine.size() == maxCrashRecords);
}
