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
    AttemptCounts one;
    countAttempt(one, report.refusal);
    RC_ASSERT(!isTriedAgain || (one.attempts == 1 ? report.counts.attempts : report.counts.staleChoices) < 4);
    RC_ASSERT(!isTriedAgain || report.refusal.outcome != Outcome::Final);
}

// The state of an endpoint is known to its process; only load and lost answers cost budget.
BOOST_AUTO_TEST_CASE(staleChoicesAreCorrectedAtOnce)
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

// Endpoints that refuse for their state, however many, leave a request its attempts; each kind is bounded on its own.
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
        auto made = row.before;
        countAttempt(made, refusal);
        BOOST_TEST((decideRetry({ refusal, true, false, made, Milliseconds(100) }) == row.decision), toText(row.reason) << " after " << row.before.attempts << " and " << row.before.staleChoices);
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

// An endpoint that dies takes all its requests with it: each may be sent again, also when refusals have used up their budget.
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

RC_BOOST_PROP(backOffStaysUnderItsBound, (uint64_t random))
{
    int attempts = *rc::gen::inRange(1, 40);
    RC_ASSERT(computeRetryBackoff(attempts, random) >= Milliseconds(0));
    RC_ASSERT(computeRetryBackoff(attempts, random) <= std::min(Milliseconds(500), Milliseconds(10) * (1 << std::min(attempts - 1, 10))));
}

// Without room anywhere the queue at hand is as good as any other; with room elsewhere the wait is short.
BOOST_AUTO_TEST_CASE(queuesAreWaitedInLongerWhenNoOtherHasRoom)
{
    BOOST_TEST((computeMaxQueueWait(true, Seconds(60)) == Milliseconds(500)));
    BOOST_TEST((computeMaxQueueWait(false, Seconds(8)) == Seconds(2)));
    BOOST_TEST((computeMaxQueueWait(false, Seconds(60)) == Seconds(5)));
    BOOST_TEST((computeMaxQueueWait(false, Milliseconds(100)) == Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(onlyShortGapsAreWaitedOut)
{
    struct {
        const char* name;
        RefusalReason last;
        Milliseconds sinceServed;
        Milliseconds waited;
        Milliseconds timeLeft;
        bool mayWait;
    } const cases[] = {
        { "served a moment ago", RefusalReason::NoEndpoint, Milliseconds(100), Milliseconds(0), Seconds(5), true },
        { "all that were known are out", RefusalReason::DataCentreOut, Milliseconds(0), Milliseconds(500), Seconds(5), true },
        { "never or long not served", RefusalReason::NoEndpoint, Seconds(5), Milliseconds(0), Seconds(5), false },
        { "waited long enough", RefusalReason::NoEndpoint, Milliseconds(100), Seconds(3), Seconds(5), false },
        { "no time left", RefusalReason::NoEndpoint, Milliseconds(100), Milliseconds(0), Milliseconds(0), false },
        { "refused for load", RefusalReason::Overloaded, Milliseconds(0), Milliseconds(0), Seconds(5), false },
        { "may have run", RefusalReason::ReplyLost, Milliseconds(0), Milliseconds(0), Seconds(5), false },
    };
    for (const auto& row : cases)
        BOOST_TEST(mayWaitForEndpoint({ makeRefusal(row.last), row.sinceServed, row.waited, row.timeLeft }) == row.mayWait, row.name);
}

static std::string makeEvent(int id, const std::string& fingerprint)
{
    return "id: " + std::to_string(id) + "\ndata: {\"text\":\"\\\"system_fingerprint\\\":\\\"x\",\"system_fingerprint\":\"" + fingerprint + "\"}\n\n";
}

// A stream cut anywhere and resumed after its last whole event gives the same bytes as the whole one.
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

// What is kept of an event that does not end is bounded, and so is the largest one that is passed on.
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
