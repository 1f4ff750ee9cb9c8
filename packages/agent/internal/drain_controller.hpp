#ifndef ENDIVEWARD_AGENT_DRAIN_CONTROLLER_HPP
#define ENDIVEWARD_AGENT_DRAIN_CONTROLLER_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace endiveward::agent
{

class call_executor;
class router_connections;

/// Refuses new calls and reports when the last call has ended. Used on the
/// traffic thread.
class drain_controller
{
    std::shared_ptr<kernel::i_clock const> clock_;
    std::shared_ptr<call_executor> executor_;
    std::shared_ptr<router_connections> connections_;

public:
    /// Delay after the last call, for the last messages to reach their routers.
    /// The end of a call is not acknowledged, and closing a socket too early
    /// may discard it.
    static constexpr std::chrono::seconds linger{1};

    /// `on_drained` is called once, when the agent has been idle for `linger`.
    drain_controller(std::shared_ptr<kernel::i_clock const> clock,
                     std::shared_ptr<call_executor> executor,
                     std::shared_ptr<router_connections> connections,
                     std::function<void()> on_drained);

    void start();
    void tick();

private:
    std::function<void()> on_drained_;
    std::optional<kernel::steady_time> idle_since_;
    bool started_ = false;
    bool drained_ = false;
};

} // namespace endiveward::agent

#endif
