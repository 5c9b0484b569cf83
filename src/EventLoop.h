/// The event loop that a process runs its sockets, timers and signals on; one thread runs it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bilberry {

using EventLoop = boost::asio::io_context;
using LoopTimer = boost::asio::steady_timer;

/// Stops a timer, so that a handler of it that is queued already finds that it has not fired.
inline void stopTimer(LoopTimer& timer)
{
    timer.expires_at(LoopTimer::time_point::max());
}

/// Whether the handler of a timer is called for its newest expiry.
inline bool hasFired(const LoopTimer& timer, const boost::system::error_code& error)
{
    return !error && timer.expiry() <= LoopTimer::clock_type::now();
}

} // namespace bilberry
