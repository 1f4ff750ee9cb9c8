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
    asio::io_context& context(std::size_t index);
    /// The contexts in turn.
    asio::io_context& next_context();

    void start();
    /// Joins the threads. Pending handlers stay until `discard_handlers`.
    void stop();
    /// Destroys the pending handlers of all contexts; call after `stop`. If
    /// objects of several pools refer to each other, stop and discard all
    /// pools before destroying any: a handler of one context may own a socket
    /// of another, which must still exist.
    void discard_handlers();

private:
    class context_with_shutdown;

    using work_guard =
        asio::executor_work_guard<asio::io_context::executor_type>;

    std::vector<std::unique_ptr<context_with_shutdown>> contexts_;
    std::vector<work_guard> guards_;
    std::vector<std::thread> threads_;
    std::atomic<std::size_t> next_{0};
};

} // namespace endiveward::kernel

#endif
