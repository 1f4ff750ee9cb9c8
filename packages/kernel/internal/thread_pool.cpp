#include "kernel/thread_pool.hpp"

namespace endiveward::kernel
{

class thread_pool::context_with_shutdown : public asio::io_context
{
public:
    using asio::io_context::io_context;

    void discard_handlers() { shutdown(); }
};

thread_pool::thread_pool(std::size_t threads)
{
    for (std::size_t n = 0; n < threads; ++n)
    {
        contexts_.push_back(std::make_unique<context_with_shutdown>(1));
        guards_.push_back(asio::make_work_guard(*contexts_.back()));
    }
}

thread_pool::~thread_pool()
{
    stop();
    discard_handlers();
}

asio::io_context& thread_pool::context(std::size_t index)
{
    return *contexts_[index];
}

void thread_pool::discard_handlers()
{
    guards_.clear();
    for (auto const& it : contexts_)
        it->discard_handlers();
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
