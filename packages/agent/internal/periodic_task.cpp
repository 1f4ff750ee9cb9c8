#include "agent/internal/periodic_task.hpp"

#include <asio/io_context.hpp>

#include <utility>

namespace endiveward::agent
{

periodic_task::periodic_task(asio::io_context& context,
                             std::chrono::milliseconds interval,
                             std::function<void()> task)
    : timer_(context)
    , interval_(interval)
    , task_(std::move(task))
{
}

void periodic_task::start()
{
    run();
}

void periodic_task::stop()
{
    stopped_ = true;
    timer_.cancel();
}

void periodic_task::run()
{
    task_();
    if (stopped_)
        return;
    timer_.expires_after(interval_);
    timer_.async_wait(
        [self = shared_from_this()](std::error_code ec)
        {
            if (!ec && !self->stopped_)
                self->run();
        });
}

} // namespace endiveward::agent
