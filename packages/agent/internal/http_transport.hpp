#ifndef ENDIVEWARD_AGENT_HTTP_TRANSPORT_HPP
#define ENDIVEWARD_AGENT_HTTP_TRANSPORT_HPP

#include "agent/internal/http_transfer.hpp"

#include <cstdint>
#include <memory>

namespace asio
{
class io_context;
}

namespace endiveward::agent
{

/// Runs HTTP transfers on a dedicated libcurl thread. Methods must be called on
/// the thread of `context`, on which all handlers run.
class http_transport
{
public:
    /// A transfer is paused while its handler has at least this many received
    /// bytes to consume.
    static constexpr std::size_t window_bytes = 256U << 10U;

    explicit http_transport(asio::io_context& context);
    ~http_transport();
    http_transport(http_transport const&) = delete;
    http_transport& operator=(http_transport const&) = delete;

    std::uint64_t start(http_request request, http_handlers handlers);
    void pause(std::uint64_t id);
    void resume(std::uint64_t id);
    /// Closes the connection; no handler is called afterwards.
    void cancel(std::uint64_t id);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace endiveward::agent

#endif
