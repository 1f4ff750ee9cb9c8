#ifndef ENDIVEWARD_GATEWAY_UPSTREAM_POOL_HPP
#define ENDIVEWARD_GATEWAY_UPSTREAM_POOL_HPP

#include "gateway/http/upstream_connection.hpp"
#include "kernel/i_clock.hpp"

#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace endiveward::gateway
{

/// The pool of connections to one endpoint. `close_idle` should be called
/// before it is destroyed: the destructor does not close idle connections,
/// whose pending reads keep them open until the peer closes them.
class upstream_pool : public std::enable_shared_from_this<upstream_pool>
{
public:
    upstream_pool(asio::io_context& context, kernel::i_clock const& clock,
                  std::shared_ptr<upstream_options const> options,
                  asio::ip::tcp::endpoint peer);

    asio::ip::tcp::endpoint const& peer() const { return peer_; }
    /// Returns an idle connection that was used within `max_idle` and has not
    /// carried a request with this id, or a new one. Returns null if the limit
    /// on connections is reached.
    std::shared_ptr<upstream_connection>
    acquire(std::chrono::milliseconds max_idle,
            std::string_view request_id = {});
    /// Returns a connection to the pool after its exchange has ended. It is
    /// kept if it is reusable and closed otherwise.
    void release(std::shared_ptr<upstream_connection> conn);
    void set_max_connections(std::size_t n) { max_connections_ = n; }
    /// Closes connections that have been idle for too long.
    void close_expired();
    void close_idle();
    std::size_t connections() const { return idle_.size() + in_use_; }

private:
    std::shared_ptr<upstream_connection> take_idle(std::size_t n);

    asio::io_context& context_;
    kernel::i_clock const& clock_;
    std::shared_ptr<upstream_options const> options_;
    asio::ip::tcp::endpoint peer_;
    /// Most recently used last.
    std::vector<std::shared_ptr<upstream_connection>> idle_;
    std::size_t in_use_ = 0;
    std::size_t max_connections_ = 1024;
};

} // namespace endiveward::gateway

#endif
