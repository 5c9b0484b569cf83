#define BOOST_TEST_MODULE RetryWindow
#include <boost/test/unit_test.hpp>

#include "RetryWindow.h"

#include <rapidcheck.h>
#include <vector>

using namespace bilberry;

// In any span of the window's length, the retries of several entries with different traffic stay within the limit for all
// entries together. The limit is computed from the requests of that span, of the span before it, or of the span half a window
// earlier, whichever are most.
BOOST_AUTO_TEST_CASE(allEntriesTogetherStayWithinTheBound)
{
    BOOST_TEST(rc::check([] {
        RetryWindowLimits limits { 0.2, static_cast<double>(*rc::gen::inRange(0, 120)), Milliseconds(10'000) };
        auto entries = static_cast<uint32_t>(*rc::gen::inRange(1, 6));
        std::vector<RetryWindow> counts(entries);
        std::vector<int> requests;
        std::vector<int> retries;
        constexpr int stepMs = 250;
        constexpr int windowSteps = 40;
        TimePoint start { std::chrono::hours(5) };
        for (int step = 0; step < 160; ++step) {
            auto now = start + Milliseconds(stepMs * step);
            requests.push_back(0);
            retries.push_back(0);
            for (auto& entry : counts) {
                int arriving = *rc::gen::inRange(0, 12);
                for (int i = 0; i < arriving; ++i) {
                    countRequest(entry, limits, now);
                    ++requests.back();
                    if (*rc::gen::inRange(0, 2) == 0 && tryTakeRetry(entry, limits, entries, now))
                        ++retries.back();
                }
            }
        }
        auto sum = [](const std::vector<int>& values, int from, int to) {
            int total = 0;
            for (int i = std::max(0, from); i < to; ++i)
                total += values[static_cast<size_t>(i)];
            return total;
        };
        for (int end = 1; end <= 160; ++end) {
            int maxRequestsInSpan = std::max({ sum(requests, end - windowSteps, end), sum(requests, end - 2 * windowSteps, end - windowSteps), sum(requests, end - windowSteps - windowSteps / 2, end - windowSteps / 2) });
            RC_ASSERT(sum(retries, end - windowSteps, end) <= limits.ratio * maxRequestsInSpan + limits.fixedRetries);
        }
    }));
}

// A process that has just started doesn't know what the one before it on the VM has retried in the same window. Both together
// stay within the limit.
BOOST_AUTO_TEST_CASE(restartsDontMultiplyTheFixedNumber)
{
    RetryWindowLimits limits { 0.2, 20, Milliseconds(10'000) };
    TimePoint now { std::chrono::hours(1) };
    auto takeAll = [&](RetryWindow& counts) {
        int taken = 0;
        while (tryTakeRetry(counts, limits, 1, now))
            ++taken;
        return taken;
    };
    RetryWindow before;
    before.countingSince = now - limits.window;
    int taken = takeAll(before);
    BOOST_TEST(taken == 16);
    RetryWindow after;
    taken += takeAll(after);
    BOOST_TEST(taken == 20);
    now += limits.window + Milliseconds(600);
    BOOST_TEST(takeAll(after) == 16);
}

BOOST_AUTO_TEST_CASE(budgetIsRestoredAfterTheWindow)
{
    RetryWindowLimits limits { 0.2, 10, Milliseconds(10'000) };
    RetryWindow counts;
    TimePoint now { std::chrono::hours(1) };
    counts.countingSince = now - limits.window;
    int taken = 0;
    while (tryTakeRetry(counts, limits, 1, now))
        ++taken;
    BOOST_TEST(taken == 8);
    BOOST_TEST(!tryTakeRetry(counts, limits, 1, now + Milliseconds(9000)));
    BOOST_TEST(tryTakeRetry(counts, limits, 1, now + Milliseconds(10'600)));
}
