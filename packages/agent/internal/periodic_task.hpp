#ifndef ENDIVEWARD_AGENT_PERIODIC_TASK_HPP
#define ENDIVEWARD_AGENT_PERIODIC_TASK_HPP

#include <asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace endiveward::agent
{

/// Runs a function periodically on the thread of an io_context.
class periodic_task : public std::enable_shared_from_this<periodic_task>
{
public:
    periodic_task(asio::io_context& context, std::chrono::milliseconds interval,
                  std::function<void()> task);

    /// Runs the function immediately, then after each interval.
    void start();
    void stop();

private:
    void run();

    asio::steady_timer timer_;
    std::chrono::milliseconds const interval_;
    std::function<void()> task_;
    bool stopped_ = false;
};

} // namespace endiveward::agent

#endif
