#include "agent/internal/drain_controller.hpp"

#include "agent/internal/call_executor.hpp"
#include "agent/internal/router_connections.hpp"

#include <utility>

namespace endiveward::agent
{

drain_controller::drain_controller(
    std::shared_ptr<kernel::i_clock const> clock,
    std::shared_ptr<call_executor> executor,
    std::shared_ptr<router_connections> connections,
    std::function<void()> on_drained)
    : clock_(std::move(clock))
    , executor_(std::move(executor))
    , connections_(std::move(connections))
    , on_drained_(std::move(on_drained))
{
}

void drain_controller::start()
{
    if (std::exchange(started_, true))
        return;
    executor_->drain();
    connections_->announce_draining();
}

void drain_controller::tick()
{
    if (!started_ || drained_)
        return;
    if (!executor_->idle())
    {
        idle_since_.reset();
        return;
    }
    auto const time = clock_->now();
    if (!idle_since_)
        idle_since_ = time;
    if (time - *idle_since_ < linger)
        return;
    drained_ = true;
    on_drained_();
}

} // namespace endiveward::agent
