#define BOOST_TEST_MODULE HedgePolicy
#include <boost/test/unit_test.hpp>

#include "HedgePolicy.h"
#include "RetryWindow.h"

#include <algorithm>
#include <random>
#include <vector>

using namespace bilberry;

namespace {

const TimePoint start { std::chrono::hours(1) };
const HedgeLimits limits { 0.02, 8 };

AnswerDelays delaysAround(Milliseconds usual)
{
    AnswerDelays answers;
    for (int i = 0; i < 128; ++i)
        recordAnswerDelay(answers, usual + Milliseconds(i % 16));
    return answers;
}

HedgeContext lateRequest()
{
    HedgeContext context;
    context.isRepeatable = true;
    context.runs = 1;
    context.maxRuns = 2;
    context.waited = Milliseconds(300);
    context.timeLeft = Milliseconds(3000);
    context.isQueueEmpty = true;
    context.loadShare = 0.4;
    return context;
}

/// What callers get in the model: delays until the answers began, sorted, and the runs that a request took on average.
struct Outcome {
    std::vector<double> delays;
    double runsPerRequest = 0;
    double delayOf(double share) const { return this->delays[static_cast<size_t>(share * static_cast<double>(this->delays.size() - 1))]; }
};

// Requests go to twenty endpoints, one of which takes ten times as long as the others. As its load is seen, it gets fewer requests
// than the others. `load` is the share of what the service's endpoints can take that is in use.
Outcome playSlowEndpoint(double hedgeShare, double load)
{
    std::mt19937_64 random(20261206);
    std::uniform_int_distribution<int> endpoint(0, 19);
    std::exponential_distribution<double> spread(1.0 / 30);
    HedgeLimits limits { hedgeShare, 8 };
    RetryWindowLimits windowLimits { hedgeShare, 0, Milliseconds(10'000) };
    RetryWindow window;
    AnswerDelays answers;
    Outcome outcome;
    constexpr int requestCount = 20'000;
    int runs = 0;
    for (int i = 0; i < requestCount; ++i) {
        auto now = start + Milliseconds(5) * i;
        countRequest(window, windowLimits, now);
        auto draw = [&](int chosen) { return (100 + spread(random)) * (chosen == 0 ? 10 : 1); };
        int first = endpoint(random) == 0 && random() % 5 < 2 ? 0 : 1 + endpoint(random) % 19;
        double delay = draw(first);
        ++runs;
        // The policy is asked each 10 ms, as an entry does on its ticks.
        for (double waited = 10; waited < delay; waited += 10) {
            auto context = lateRequest();
            context.waited = Milliseconds(static_cast<int64_t>(waited));
            context.loadShare = load;
            if (!shouldHedge(context, limits, answers) || !tryTakeRetry(window, windowLimits, 1, now))
                continue;
            ++runs;
            int second = (first + 1 + endpoint(random) % 19) % 20;
            delay = std::min(delay, waited + draw(second));
            break;
        }
        recordAnswerDelay(answers, Milliseconds(static_cast<int64_t>(delay)));
        outcome.delays.push_back(delay);
    }
    std::sort(outcome.delays.begin(), outcome.delays.end());
    outcome.runsPerRequest = static_cast<double>(runs) / requestCount;
    return outcome;
}

} // namespace

BOOST_AUTO_TEST_CASE(onlyALateAnswerOfARequestThatMayRepeatIsHedged)
{
    auto answers = delaysAround(Milliseconds(100));
    BOOST_TEST(shouldHedge(lateRequest(), limits, answers));
    struct Case {
        const char* name;
        void (*change)(HedgeContext&);
    };
    const std::vector<Case> cases {
        { "it may run at most once", [](HedgeContext& context) { context.isRepeatable = false; } },
        { "no run is left", [](HedgeContext& context) { context.runs = 2; } },
        { "it isn't late yet", [](HedgeContext& context) { context.waited = Milliseconds(110); } },
        { "others wait for an endpoint", [](HedgeContext& context) { context.isQueueEmpty = false; } },
        { "the service is near its capacity", [](HedgeContext& context) { context.loadShare = 0.8; } },
        { "no time is left for an answer", [](HedgeContext& context) { context.timeLeft = Milliseconds(50); } },
    };
    for (const auto& row : cases) {
        auto context = lateRequest();
        row.change(context);
        BOOST_TEST_CONTEXT(row.name)
        BOOST_TEST(!shouldHedge(context, limits, answers));
    }
}

BOOST_AUTO_TEST_CASE(nothingIsHedgedBeforeTheUsualDelayIsKnown)
{
    AnswerDelays answers;
    for (int i = 0; i < 31; ++i)
        recordAnswerDelay(answers, Milliseconds(100));
    BOOST_TEST(!shouldHedge(lateRequest(), limits, answers));
    recordAnswerDelay(answers, Milliseconds(100));
    BOOST_TEST(shouldHedge(lateRequest(), limits, answers));
}

BOOST_AUTO_TEST_CASE(delaysOfTheLastAnswersCount)
{
    auto answers = delaysAround(Milliseconds(500));
    BOOST_TEST(!shouldHedge(lateRequest(), limits, answers));
    for (int i = 0; i < 128; ++i)
        recordAnswerDelay(answers, Milliseconds(20));
    BOOST_TEST(shouldHedge(lateRequest(), limits, answers));
    BOOST_TEST((*delayOfShare(answers, 1) == Milliseconds(20)));
}

// Load: a calm service, one of whose twenty endpoints is slow.
BOOST_AUTO_TEST_CASE(theSlowestAnswersAreCutWithLittleExtraWork)
{
    auto without = playSlowEndpoint(0, 0.4);
    auto with = playSlowEndpoint(0.025, 0.4);
    BOOST_TEST_MESSAGE("99th percentile in ms " << without.delayOf(0.99) << " and " << with.delayOf(0.99) << ", runs a request " << with.runsPerRequest);
    BOOST_TEST(without.runsPerRequest == 1.0);
    BOOST_TEST(with.delayOf(0.99) < without.delayOf(0.99) / 2);
    BOOST_TEST(with.runsPerRequest <= 1.02);
    BOOST_TEST(with.delayOf(0.5) < 1.05 * without.delayOf(0.5));
}

// Load: the same slow endpoint in a service near its capacity.
BOOST_AUTO_TEST_CASE(nothingIsHedgedNearTheCapacity)
{
    BOOST_TEST(playSlowEndpoint(0.025, 0.8).runsPerRequest == 1.0);
}

// Load: entries that can't hear each other hedge as much as they may, and the sum stays within the operators' share.
BOOST_AUTO_TEST_CASE(theShareHoldsOverEntriesThatDontHearEachOther)
{
    RetryWindowLimits windowLimits { 0.05, 0, Milliseconds(10'000) };
    std::vector<RetryWindow> windows(15);
    int requests = 0;
    int hedges = 0;
    for (int i = 0; i < 9'000; ++i) {
        auto now = start + Milliseconds(1) * i;
        // A few entries take most of the requests.
        auto& window = windows[static_cast<size_t>(i % 3 == 0 ? i % 15 : i % 2)];
        countRequest(window, windowLimits, now);
        ++requests;
        hedges += tryTakeRetry(window, windowLimits, 1, now) ? 1 : 0;
    }
    BOOST_TEST(hedges > 0);
    BOOST_TEST(hedges <= 0.05 * requests);
}
