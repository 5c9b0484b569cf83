#define BOOST_TEST_MODULE Retry
#include "Retry.h"
#include "StreamRelay.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace bilberry;

static RefusalReason makeRandomReason()
{
    return static_cast<RefusalReason>(*rc::gen::inRange(1, refusalReasonCount));
}

RC_BOOST_PROP(nothingIsRepeatedThatMayHaveRun, ())
{
    AttemptReport report { makeRefusal(makeRandomReason()), *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(), { *rc::gen::inRange(1, 10), *rc::gen::inRange(0, 10) }, Milliseconds(*rc::gen::inRange(-10, 1000)) };
    bool isTriedAgain = decideRetry(report) != RetryDecision::GiveUp;
    bool mayHaveRun = report.refusal.outcome != Outcome::NotRun;
    RC_ASSERT(!isTriedAgain || !mayHaveRun || report.isRepeatable);
    RC_ASSERT(!isTriedAgain || (!report.hasSentBytesToCaller && report.timeLeft > Milliseconds(0)));
    AttemptCounts countsOfOneAttempt;
    countAttempt(countsOfOneAttempt, report.refusal);
    RC_ASSERT(!isTriedAgain || (countsOfOneAttempt.attempts == 1 ? report.counts.attempts : report.counts.staleChoices) < 4);
    RC_ASSERT(!isTriedAgain || report.refusal.outcome != Outcome::PermanentlyRefused);
}

// Refusals because of an endpoint's state are retried at once; only those for load and lost replies take from the budget.
BOOST_AUTO_TEST_CASE(staleChoicesAreRetriedAtOnce)
{
    struct {
        RefusalReason reason;
        RetryDecision decision;
    } const cases[] = {
        { RefusalReason::DataCentreOut, RetryDecision::RetryImmediately },
        { RefusalReason::Leaving, RetryDecision::RetryImmediately },
        { RefusalReason::VersionNotReady, RetryDecision::RetryImmediately },
        { RefusalReason::ConnectFailed, RetryDecision::RetryImmediately },
        { RefusalReason::Overloaded, RetryDecision::RetryAfterBackoff },
        { RefusalReason::QueueFull, RetryDecision::RetryAfterBackoff },
        { RefusalReason::ReplyLost, RetryDecision::RetryAfterBackoff },
        { RefusalReason::DeadlineExceeded, RetryDecision::GiveUp },
        { RefusalReason::CrashedEndpoints, RetryDecision::GiveUp },
    };
    for (const auto& row : cases)
        BOOST_TEST((decideRetry({ makeRefusal(row.reason), true, false, { 1, 1 }, Milliseconds(100) }) == row.decision), toText(row.reason));
}

// Endpoints that refuse because of their state, however many, use up no attempts of a request. Each kind has its own bound.
BOOST_AUTO_TEST_CASE(staleChoicesUseUpNoAttempts)
{
    struct {
        RefusalReason reason;
        AttemptCounts before;
        RetryDecision decision;
    } const cases[] = {
        { RefusalReason::NoConfiguration, { 0, 2 }, RetryDecision::RetryImmediately },
        { RefusalReason::NoConfiguration, { 0, 3 }, RetryDecision::GiveUp },
        { RefusalReason::NoConfiguration, { 3, 0 }, RetryDecision::RetryImmediately },
        { RefusalReason::ReplyLost, { 0, 4 }, RetryDecision::RetryAfterBackoff },
        { RefusalReason::Overloaded, { 0, 9 }, RetryDecision::RetryAfterBackoff },
        { RefusalReason::ReplyLost, { 2, 9 }, RetryDecision::RetryAfterBackoff },
        { RefusalReason::ReplyLost, { 3, 0 }, RetryDecision::GiveUp },
    };
    for (const auto& row : cases) {
        auto refusal = makeRefusal(row.reason);
        auto counts = row.before;
        countAttempt(counts, refusal);
        BOOST_TEST((decideRetry({ refusal, true, false, counts, Milliseconds(100) }) == row.decision), toText(row.reason) << " after " << row.before.attempts << " and " << row.before.staleChoices);
    }
}

RC_BOOST_PROP(attemptsAreBoundedWhateverRefuses, ())
{
    AttemptReport report { {}, true, false, {}, Milliseconds(100) };
    int total = 0;
    do {
        report.refusal = makeRefusal(makeRandomReason());
        countAttempt(report.counts, report.refusal);
        ++total;
    } while (decideRetry(report) != RetryDecision::GiveUp);
    RC_ASSERT(total <= 7);
}

RC_BOOST_PROP(retriesStayWithinTheirShare, ())
{
    RetryBudget budget;
    double share = *rc::gen::inRange(1, 100) / 100.0;
    int requests = *rc::gen::inRange(1, 2000);
    int retries = 0;
    for (int i = 0; i < requests; ++i) {
        addRetryTokens(budget, share);
        for (int tries = *rc::gen::inRange(0, 4); tries > 0; --tries)
            retries += takeRetryToken(budget) ? 1 : 0;
    }
    RC_ASSERT(retries <= budget.maxTokens + share * requests);
}

// An endpoint that fails loses the replies of all its requests at once. Each may be retried, even when refusals have used up
// their budget.
BOOST_AUTO_TEST_CASE(lostRepliesHaveABudgetOfTheirOwn)
{
    RetryBudgets budgets;
    while (chargeRetryBudget(budgets, makeRefusal(RefusalReason::Overloaded))) { }
    int retries = 0;
    while (chargeRetryBudget(budgets, makeRefusal(RefusalReason::ReplyLost)))
        ++retries;
    BOOST_TEST(retries == 128);
    creditRetryBudgets(budgets, 0.1);
    BOOST_TEST(!chargeRetryBudget(budgets, makeRefusal(RefusalReason::QueueFull)));
    BOOST_TEST(chargeRetryBudget(budgets, makeRefusal(RefusalReason::ReplyLost)));
    BOOST_TEST(!chargeRetryBudget(budgets, makeRefusal(RefusalReason::ReplyLost)));
}

RC_BOOST_PROP(backoffStaysUnderItsBound, (uint64_t random))
{
    int attempts = *rc::gen::inRange(1, 40);
    RC_ASSERT(computeRetryBackoff(attempts, random) >= Milliseconds(0));
    RC_ASSERT(computeRetryBackoff(attempts, random) <= std::min(Milliseconds(500), Milliseconds(10) * (1 << std::min(attempts - 1, 10))));
}

// When no endpoint has capacity, one queue is as good as any other and the wait is long; otherwise the wait is short.
BOOST_AUTO_TEST_CASE(queueWaitIsLongerWhenNoEndpointHasCapacity)
{
    BOOST_TEST((computeMaxQueueWait(true, Seconds(60)) == Milliseconds(500)));
    BOOST_TEST((computeMaxQueueWait(false, Seconds(8)) == Seconds(2)));
    BOOST_TEST((computeMaxQueueWait(false, Seconds(60)) == Seconds(5)));
    BOOST_TEST((computeMaxQueueWait(false, Milliseconds(100)) == Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(requestsWaitOnlyForShortOutages)
{
    struct {
        const char* name;
        RefusalReason lastReason;
        Milliseconds timeSinceAvailable;
        Milliseconds timeWaited;
        Milliseconds timeLeft;
        bool mayWait;
    } const cases[] = {
        { "served a moment ago", RefusalReason::NoEndpoint, Milliseconds(100), Milliseconds(0), Seconds(5), true },
        { "all known endpoints are out of service", RefusalReason::DataCentreOut, Milliseconds(0), Milliseconds(500), Seconds(5), true },
        { "never served, or not for a long time", RefusalReason::NoEndpoint, Seconds(5), Milliseconds(0), Seconds(5), false },
        { "waited long enough", RefusalReason::NoEndpoint, Milliseconds(100), Seconds(3), Seconds(5), false },
        { "no time left", RefusalReason::NoEndpoint, Milliseconds(100), Milliseconds(0), Milliseconds(0), false },
        { "refused for load", RefusalReason::Overloaded, Milliseconds(0), Milliseconds(0), Seconds(5), false },
        { "may have run", RefusalReason::ReplyLost, Milliseconds(0), Milliseconds(0), Seconds(5), false },
    };
    for (const auto& row : cases)
        BOOST_TEST(mayWaitForEndpoint({ makeRefusal(row.lastReason), row.timeSinceAvailable, row.timeWaited, row.timeLeft }) == row.mayWait, row.name);
}

static std::string makeEvent(int id, const std::string& fingerprint)
{
    return "id: " + std::to_string(id) + "\ndata: {\"text\":\"\\\"system_fingerprint\\\":\\\"x\",\"system_fingerprint\":\"" + fingerprint + "\"}\n\n";
}

// A stream that breaks at any byte and resumes after its last whole event gives the same bytes as an unbroken one.
RC_BOOST_PROP(resumedStreamsAreWhole, ())
{
    std::vector<std::string> events;
    for (int id = 1; id <= 6; ++id)
        events.push_back(makeEvent(id, "sha256:1"));
    events.emplace_back("data: [DONE]\n\n");
    std::string whole;
    for (const auto& event : events)
        whole += event;
    StreamProgress progress;
    std::string passed;
    std::string rest = whole.substr(0, *rc::gen::inRange<size_t>(0, whole.size()));
    while (!rest.empty()) {
        auto size = std::min(rest.size(), *rc::gen::inRange<size_t>(1, 40));
        passed += extractEvents(progress, rest.substr(0, size));
        rest.erase(0, size);
    }
    RC_ASSERT(!progress.isComplete);
    RC_ASSERT(mayResumeStream(progress));
    progress.pending.clear();
    for (auto id = progress.lastId.empty() ? size_t(0) : static_cast<size_t>(std::stoi(progress.lastId)); id < events.size(); ++id)
        passed += extractEvents(progress, events[id]);
    RC_ASSERT(passed == whole);
    RC_ASSERT(progress.isComplete);
}

BOOST_AUTO_TEST_CASE(otherWeightsEndAStream)
{
    StreamProgress progress;
    BOOST_TEST(extractEvents(progress, makeEvent(1, "sha256:1") + makeEvent(2, "sha256:2")) == makeEvent(1, "sha256:1"));
    BOOST_TEST(progress.hasMixedWeights);
    BOOST_TEST(!mayResumeStream(progress));
}

// The buffer for an incomplete event is bounded, and so is the size of an event that is relayed.
BOOST_AUTO_TEST_CASE(anEventOverTheLimitEndsAStream)
{
    constexpr size_t limit = size_t(1) << 20;
    const std::string piece(limit / 16, 'x');
    for (size_t size : { limit - piece.size(), 8 * limit }) {
        StreamProgress progress;
        std::string whole = makeEvent(1, "sha256:1") + "data: ";
        std::string passed = extractEvents(progress, whole);
        for (size_t sent = 0; sent < size; sent += piece.size()) {
            passed += extractEvents(progress, piece);
            BOOST_REQUIRE(progress.pending.size() <= limit + piece.size());
        }
        passed += extractEvents(progress, "\n\n");
        BOOST_TEST(passed.size() == (size < limit ? whole.size() + size + 2 : makeEvent(1, "sha256:1").size()));
        BOOST_TEST(mayResumeStream(progress) == (size < limit));
    }
}
