// A request that crashes back ends harms two at most, whoever sends it again; one that was only beside is soon free.
#define BOOST_TEST_MODULE Quarantine
#include "Quarantine.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <set>

using namespace bilberry;

// Any order of tries: each asks the quarantine first, and a crash is known before the next try.
RC_BOOST_PROP(atMostTwoBackEndsAreHarmed, (const std::vector<uint8_t>& tries))
{
    Quarantine quarantine;
    TimePoint now { std::chrono::hours(1) };
    std::set<std::string> harmed;
    for (uint8_t vm : tries) {
        now += Seconds(vm);
        if (quarantine.decide(7, now) == QuarantineDecision::Refuse || now > TimePoint(std::chrono::hours(1)) + suspicionTime)
            continue;
        harmed.insert(std::to_string(vm));
        quarantine.add(7, std::to_string(vm), now);
    }
    RC_ASSERT(harmed.size() <= 2);
}

BOOST_AUTO_TEST_CASE(suspicionEnds)
{
    Quarantine quarantine;
    TimePoint now { std::chrono::hours(1) };
    BOOST_TEST((quarantine.decide(1, now) == QuarantineDecision::Run));
    quarantine.add(1, "a", now);
    quarantine.add(1, "a", now);
    BOOST_TEST((quarantine.decide(1, now) == QuarantineDecision::RunAlone));
    BOOST_TEST((quarantine.decide(1, now + suspicionTime) == QuarantineDecision::Run));
    quarantine.clear(1);
    BOOST_TEST((quarantine.decide(1, now) == QuarantineDecision::Run));
    quarantine.add(2, "a", now);
    quarantine.add(2, "b", now);
    quarantine.clear(2);
    BOOST_TEST((quarantine.decide(2, now + suspicionTime) == QuarantineDecision::Refuse));
    BOOST_TEST((quarantine.decide(2, now + condemnedTime) == QuarantineDecision::Run));
    for (uint64_t fingerprint = 10; fingerprint < 10 + 2 * maxCrashRows; ++fingerprint)
        quarantine.add(fingerprint, "a", now + Seconds(1));
    BOOST_TEST(quarantine.size() == maxCrashRows);
}
