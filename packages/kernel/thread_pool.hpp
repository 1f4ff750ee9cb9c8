#ifndef ENDIVEWARD_KERNEL_THREAD_POOL_HPP
#define ENDIVEWARD_KERNEL_THREAD_POOL_HPP

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace endiveward::kernel
{

/// Threads with one `asio::io_context` each, so that objects bound to one
/// context need no locks. The control thread is a pool of one thread.
class thread_pool
{
public:
    explicit thread_pool(std::size_t threads);
    ~thread_pool();
    thread_pool(thread_pool const&) = delete;
    thread_pool& operator=(thread_pool const&) = delete;

    std::size_t size() const { return contexts_.size(); }
    asio::io_context& context(std::size_t index) { return *contexts_[index]; }
    /// The contexts in turn.
    asio::io_context& next_context();

    void start();
    /// Discards pending handlers and joins the threads.
    void stop();

private:
    using work_guard =
        asio::executor_work_guard<asio::io_context::executor_type>;

    std::vector<std::unique_ptr<asio::io_context>> contexts_;
    std::vector<work_guard> guards_;
    std::vector<std::thread> threads_;
    std::atomic<std::size_t> next_{0};
};

} // namespace endiveward::kernel

#endif
