#ifndef ENDIVEWARD_ROUTER_CALLER_API_HPP
#define ENDIVEWARD_ROUTER_CALLER_API_HPP

#include "kernel/types/error.hpp"
#include "router/relay_services.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace endiveward::kernel
{
class thread_pool;
}

namespace endiveward::router
{

class i_caller_response;
struct caller_request;

struct caller_api_options
{
    std::shared_ptr<relay_services const> services;
    /// Threads that run the calls.
    std::shared_ptr<kernel::thread_pool> traffic;
    std::size_t max_body_bytes = 8U << 20U;
    std::size_t max_header_bytes = 64U << 10U;
    std::chrono::milliseconds default_deadline{60'000};
    std::chrono::milliseconds max_deadline{600'000};
    /// Returns the error with which new requests are currently refused, or
    /// nothing if they are served; may be empty.
    std::function<std::optional<kernel::error>()> refusal;
};

/// The HTTP API for callers, independent of the HTTP library. Safe for
/// concurrent use.
class caller_api
{
public:
    explicit caller_api(caller_api_options options);
    ~caller_api();
    caller_api(caller_api const&) = delete;
    caller_api& operator=(caller_api const&) = delete;

    /// Answers the request, immediately or later. Returns a function to be
    /// called if the caller disconnects before the answer; empty if the request
    /// is answered already.
    std::function<void()> handle(caller_request request,
                                 std::shared_ptr<i_caller_response> response);

    /// Refuses all further requests with `draining`.
    void refuse_new_calls();
    /// Number of calls in progress.
    std::size_t active_calls() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace endiveward::router

#endif
