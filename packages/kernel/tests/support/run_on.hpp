#ifndef ENDIVEWARD_KERNEL_TESTS_SUPPORT_RUN_ON_HPP
#define ENDIVEWARD_KERNEL_TESTS_SUPPORT_RUN_ON_HPP

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>

namespace endiveward::kernel::tests
{

/// Does work on the thread that runs a context, and waits for its end.
template <typename F>
void run_on(asio::io_context& context, F work)
{
    std::promise<void> done;
    asio::post(context,
               [&]
               {
                   work();
                   done.set_value();
               });
    done.get_future().wait();
}

} // namespace endiveward::kernel::tests

#endif
