#ifndef ENDIVEWARD_KERNEL_OPEN_SOCKETS_HPP
#define ENDIVEWARD_KERNEL_OPEN_SOCKETS_HPP

#include "kernel/socket_use.hpp"

#include <asio/execution_context.hpp>

#include <cstddef>
#include <limits>
#include <list>
#include <memory>

namespace endiveward::kernel
{

class listed_socket;

/// The sockets of the connections that a server has on an io_context. If there
/// are too many, or if requests that are not complete take too much, those
/// without progress for longest are closed, but never one with a request in
/// progress. RESTinio stops accepting at a limit of its own, and for good once
/// a process has no descriptors left. The io_context must be run by one thread.
class open_sockets : public asio::execution_context::service
{
public:
    using key_type = open_sockets;
    /// Memory that a request takes for each byte received.
    static constexpr std::size_t memory_per_byte = 3;

    using position = std::list<listed_socket*>::iterator;

    static asio::execution_context::id id;

    explicit open_sockets(asio::execution_context& context);

    /// Number of connections.
    void set_limit(std::size_t limit) { limit_ = limit; }
    /// Bytes of memory that requests without an answer may take, of all
    /// connections together: `memory_per_byte` for each byte received, since
    /// RESTinio's strings double and bodies are copied for their calls.
    void set_request_limit(std::size_t limit) { request_limit_ = limit; }

    std::shared_ptr<socket_use> make_use() const;
    position add(listed_socket& socket);
    void remove(position at);
    /// Bytes have arrived.
    void on_read(socket_use& use, std::size_t bytes);
    /// What the process is reading now; null while it reads nothing.
    std::shared_ptr<socket_use> const& current() const { return current_; }
    void set_current(std::shared_ptr<socket_use> use);

private:
    void shutdown() override {}

    listed_socket* find_displaceable(std::size_t least_bytes) const;

    std::shared_ptr<socket_totals> totals_ = std::make_shared<socket_totals>();
    std::list<listed_socket*> sockets_;
    std::shared_ptr<socket_use> current_;
    std::size_t limit_ = std::numeric_limits<std::size_t>::max();
    std::size_t request_limit_ = std::numeric_limits<std::size_t>::max();
};

} // namespace endiveward::kernel

#endif
