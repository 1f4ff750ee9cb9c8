#include "kernel/thread_pool.hpp"

namespace endiveward::kernel
{

thread_pool::thread_pool(std::size_t threads)
{
    for (std::size_t n = 0; n < threads; ++n)
    {
        contexts_.push_back(std::make_unique<asio::io_context>(1));
        guards_.push_back(asio::make_work_guard(*contexts_.back()));
    }
}

thread_pool::~thread_pool()
{
    stop();
}

asio::io_context& thread_pool::next_context()
{
    return *contexts_[next_++ % contexts_.size()];
}

void thread_pool::start()
{
    for (auto const& it : contexts_)
        threads_.emplace_back([&context = *it] { context.run(); });
}

void thread_pool::stop()
{
    for (auto const& it : contexts_)
        it->stop();
    for (auto& it : threads_)
    {
        if (it.joinable())
            it.join();
    }
    threads_.clear();
}

} // namespace endiveward::kernel
