#ifndef ENDIVEWARD_ROUTER_CALLER_SERVER_HPP
#define ENDIVEWARD_ROUTER_CALLER_SERVER_HPP

#include "kernel/types/result.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace asio
{
class io_context;
}

namespace endiveward::router
{

class caller_api;

struct caller_server_options
{
    std::string address;
    /// 0 selects a free port.
    std::uint16_t port = 0;
    std::size_t max_body_bytes = 8U << 20U;
    std::size_t max_header_bytes = 64U << 10U;
    /// If there are more, those without progress for longest are closed.
    std::size_t max_connections = 4096;
    /// Bytes that requests without an answer may take, of all callers together.
    /// Beyond them, requests that are not complete are given up.
    std::size_t max_request_memory = 128U << 20U;
    std::chrono::milliseconds read_timeout{10'000};
    std::chrono::milliseconds max_deadline{600'000};
};

/// HTTP server for callers, on an external `io_context` with one thread.
class caller_server
{
public:
    caller_server(asio::io_context& context, caller_server_options options,
                  std::shared_ptr<caller_api> api);
    ~caller_server();
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// Starts listening and returns the port in use. Waits for the thread of
    /// the context, which may be running already.
    kernel::result<std::uint16_t> start();
    /// Closes the listener; open connections are kept.
    void stop_accepting();

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace endiveward::router

#endif
