#ifndef ENDIVEWARD_FOLLOWER_TESTS_SUPPORT_RUN_DUE_HPP
#define ENDIVEWARD_FOLLOWER_TESTS_SUPPORT_RUN_DUE_HPP

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>

namespace endiveward::follower::tests
{

/// Runs all handlers that are ready and all timers that are due, also those
/// that they start. `poll` alone does not: a timer that is due at once may be
/// reported by the system only a moment later.
inline void run_due(asio::io_context& context)
{
    std::size_t handlers = 0;
    do
    {
        context.restart();
        bool done = false;
        asio::steady_timer last(context, std::chrono::milliseconds(0));
        // Timers that were due before this one run before it.
        last.async_wait([&done](std::error_code) { done = true; });
        handlers = 0;
        while (!done)
            handlers += context.run_one();
        handlers += context.poll();
    } while (handlers > 1);
}

} // namespace endiveward::follower::tests

#endif
