#ifndef ENDIVEWARD_ROUTER_DRAIN_SEQUENCE_HPP
#define ENDIVEWARD_ROUTER_DRAIN_SEQUENCE_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace endiveward::router
{

/// Steps of a graceful shutdown: the readiness check fails, then the listeners
/// close, then the process exits when no call is left. No I/O.
class drain_sequence
{
public:
    enum class step
    {
        none,
        /// Answer `/readyz` with 503 and keep accepting connections.
        announce,
        close_listeners,
        /// All calls have ended.
        exit,
        /// The process was asked to stop a second time; calls may be aborted.
        exit_at_once
    };

    /// `notice` is the time between the first signal and the closing of the
    /// listeners, in which load balancers can react to the readiness check.
    explicit drain_sequence(std::chrono::milliseconds notice);

    /// The process was asked to stop.
    step on_signal(kernel::steady_time now);
    /// Call periodically with the number of calls in progress.
    step on_tick(kernel::steady_time now, std::size_t calls);

    bool draining() const { return draining_since_.has_value(); }

private:
    std::chrono::milliseconds const notice_;
    std::optional<kernel::steady_time> draining_since_;
    bool closed_ = false;
};

} // namespace endiveward::router

#endif
