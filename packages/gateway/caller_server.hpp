#ifndef ENDIVEWARD_GATEWAY_CALLER_SERVER_HPP
#define ENDIVEWARD_GATEWAY_CALLER_SERVER_HPP

#include "gateway/i_connection_owner.hpp"
#include "kernel/types/result.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace endiveward::kernel
{
class i_clock;
}

namespace endiveward::gateway
{

class caller_connection;
class i_request_handler;

/// Accepts callers' connections. If there are too many, or if they hold too
/// much memory, those that make no progress give way. Must be used from one
/// thread.
class caller_server : private i_connection_owner
{
public:
    caller_server(asio::io_context& context, kernel::i_clock const& clock,
                  i_request_handler& handler, std::size_t max_connections);
    ~caller_server() override;
    caller_server(caller_server const&) = delete;
    caller_server& operator=(caller_server const&) = delete;

    /// Starts listening; port 0 selects a free port. Returns the port in use.
    kernel::result<std::uint16_t> listen(std::string const& address,
                                         std::uint16_t port);
    void set_max_connections(std::size_t n) { max_connections_ = n; }
    void stop_listening();
    /// Tells the requests in progress that the process stops.
    void on_stop();
    /// Closes connections on which no request is in progress.
    void close_idle();
    void close_all();
    std::size_t connections() const { return connections_.size(); }

private:
    std::vector<char>& scratch() override { return scratch_; }
    void on_memory_full() override;
    void on_closed(caller_connection& connection) override;

    void accept();
    void on_accepted(asio::ip::tcp::socket socket);
    void on_accept_failed();
    bool make_place();
    bool free_descriptor();
    void plan_relief();
    void relieve();
    void release_freed();
    void tick();
    std::vector<std::shared_ptr<caller_connection>> current() const;

    kernel::i_clock const& clock_;
    i_request_handler& handler_;
    std::size_t max_connections_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    asio::steady_timer accept_retry_;
    asio::steady_timer relief_timer_;
    bool relief_planned_ = false;
    bool has_relieved_ = false;
    std::vector<char> scratch_;
    std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>>
        connections_;
};

} // namespace endiveward::gateway

#endif
