#ifndef ENDIVEWARD_ROUTER_DRAIN_SEQUENCE_HPP
#define ENDIVEWARD_ROUTER_DRAIN_SEQUENCE_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace endiveward::router
{

/// Orders the steps of a planned stop: not ready, then no new connections, then
/// the end when no call is left. No I/O.
class drain_sequence
{
public:
    enum class step
    {
        none,
        /// Answer `/readyz` with 503 and go on accepting.
        announce,
        close_listeners,
        /// All calls have ended.
        exit,
        /// A second request to stop; calls may be cut.
        exit_at_once
    };

    explicit drain_sequence(std::chrono::milliseconds notice);

    /// The process was told to stop.
    step on_signal(kernel::steady_time now);
    /// Call regularly.
    step on_tick(kernel::steady_time now, std::size_t calls);

    bool draining() const { return since_.has_value(); }

private:
    std::chrono::milliseconds const notice_;
    std::optional<kernel::steady_time> since_;
    bool closed_ = false;
};

} // namespace endiveward::router

#endif
