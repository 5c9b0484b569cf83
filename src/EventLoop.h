/// Event loop for the sockets, timers and signals of a process. A single thread runs it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bilberry {

using EventLoop = boost::asio::io_context;
using LoopTimer = boost::asio::steady_timer;

/// Stops a timer. A handler that is already queued is still called, but hasFired() is false in it.
inline void stopTimer(LoopTimer& timer)
{
    timer.expires_at(LoopTimer::time_point::max());
}

/// Whether a timer's handler is called because the timer's latest expiry time has passed, rather than because the timer was
/// stopped or set anew. `error` is what the handler was given.
inline bool hasFired(const LoopTimer& timer, const boost::system::error_code& error)
{
    return !error && timer.expiry() <= LoopTimer::clock_type::now();
}

} // namespace bilberry
