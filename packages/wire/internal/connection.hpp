#ifndef ENDIVEWARD_WIRE_INTERNAL_CONNECTION_HPP
#define ENDIVEWARD_WIRE_INTERNAL_CONNECTION_HPP

#include "kernel/types/error.hpp"
#include "wire/connection_options.hpp"
#include "wire/frame_authenticator.hpp"
#include "wire/i_connection.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace endiveward::wire
{

class connection : public i_connection,
                   public std::enable_shared_from_this<connection>
{
    std::shared_ptr<connection_options const> options_;

public:
    enum class side : std::uint8_t
    {
        client,
        server
    };
    /// Called once: with no value when open, or with the reason of failure.
    using open_handler = std::function<void(std::optional<kernel::error>)>;

    connection(asio::ip::tcp::socket socket, side own_side,
               std::shared_ptr<connection_options const> options);

    /// Starts the handshake on a connected socket.
    void start(open_handler handler);
    /// Connects first. Call instead of `start`.
    void connect(asio::ip::tcp::endpoint const& address, open_handler handler);

    hello const& peer() const override { return peer_; }
    bool is_open() const override { return open_.load(); }
    void send(message const& msg, write_handler handler) override;
    void close() override;
    /// Closes the connection unless the peer is authenticated.
    void abandon_handshake();

private:
    static constexpr std::size_t prefix_size = 12;

    struct outgoing_frame
    {
        std::vector<std::uint8_t> payload;
        write_handler handler;
        bool call = false;
        std::array<std::uint8_t, prefix_size> prefix{};
        frame_authenticator::tag tag{};

        std::size_t wire_size() const
        {
            return prefix.size() + payload.size() + tag.size();
        }
    };

    void start_timeout();
    void begin_handshake();
    void send_hello();
    void send_state();
    void enqueue(outgoing_frame frame);
    void write_next();
    void on_written(std::error_code ec, std::size_t n);
    void finish_batch(std::size_t written);
    void post_write();
    void read_more();
    void make_room();
    void process_inbox();
    bool take_frame();
    void on_payload();
    void on_hello(message msg);
    void on_authenticated(message msg);
    bool accept_tag();
    void derive_keys();
    void become_open();
    void reject(std::string reason);
    void fail(kernel::error reason);
    void count_received(bool call, std::size_t n);
    kernel::error io_error(std::string const& what,
                           std::error_code const& ec) const;

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    side const side_;
    open_handler open_handler_;
    hello peer_;
    std::atomic<bool> open_{false};
    bool failed_ = false;
    bool was_open_ = false;
    bool hello_received_ = false;

    std::vector<std::uint8_t> own_hello_;
    /// What the peer knows of this process; empty once the connection is open.
    std::vector<std::uint8_t> sent_state_;
    std::optional<frame_authenticator> outbound_;
    std::optional<frame_authenticator> inbound_;
    std::uint64_t next_sent_ = 0;
    std::uint64_t next_received_ = 0;

    std::deque<outgoing_frame> pending_;
    std::vector<outgoing_frame> in_flight_;
    std::size_t pending_bytes_ = 0;

    bool write_posted_ = false;

    /// Received bytes; those from `inbox_begin_` to `inbox_end_` are not
    /// processed yet.
    std::vector<std::uint8_t> inbox_;
    std::size_t inbox_begin_ = 0;
    std::size_t inbox_end_ = 0;
    /// Size of the frame that has arrived in part; 0 if not known.
    std::size_t incoming_frame_bytes_ = 0;
    std::vector<std::uint8_t> payload_;
};

} // namespace endiveward::wire

#endif
