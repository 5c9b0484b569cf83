/// What the tests of the HTTP server and client on the event loop share.
#pragma once

#include "EventLoop.h"
#include "Types.h"

#include <boost/test/unit_test.hpp>
#include <functional>

namespace bilberry {

/// Longest time that a test waits for a condition.
constexpr Milliseconds testTimeout { 8000 };

/// Runs the loop until the condition holds; fails the test if it doesn't hold in time. Used by the loop's thread.
inline void runUntil(EventLoop& loop, const std::function<bool()>& condition)
{
    auto end = Clock::now() + testTimeout;
    while (!condition() && Clock::now() < end) {
        loop.restart();
        loop.run_one_for(Milliseconds(20));
    }
    BOOST_REQUIRE(condition());
}

} // namespace bilberry
