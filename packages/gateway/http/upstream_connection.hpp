#ifndef ENDIVEWARD_GATEWAY_HTTP_UPSTREAM_CONNECTION_HPP
#define ENDIVEWARD_GATEWAY_HTTP_UPSTREAM_CONNECTION_HPP

#include "gateway/http/i_response_sink.hpp"
#include "gateway/http/response_reader.hpp"
#include "gateway/types/upstream_failure.hpp"
#include "kernel/i_clock.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace endiveward::gateway
{

class i_upstream_observer;

struct upstream_request
{
    /// Request line and header fields, or the whole request.
    std::string head;
    /// Not copied, since a large body would take its memory once more for each
    /// attempt; may be null.
    std::shared_ptr<std::string const> body;
    std::string id;
    bool is_head_request = false;
};

struct upstream_options
{
    std::chrono::milliseconds connect_timeout{400};
    /// A connection with unacknowledged data or unanswered keep-alive probes is
    /// closed after this time.
    std::chrono::milliseconds peer_timeout{2500};
    std::size_t max_header_bytes = 64U << 10U;
    /// How long an idle connection may be reused if the peer sends no
    /// `Keep-Alive` timeout.
    std::chrono::milliseconds default_idle{4000};
    /// Name of the header field with the request id. A response whose field
    /// holds another id than the request is skipped. If empty, ids are not
    /// compared.
    std::string id_field;
};

/// An HTTP/1.1 client connection. It carries one request at a time.
class upstream_connection
    : public std::enable_shared_from_this<upstream_connection>,
      private i_response_sink
{
public:
    /// Called when an idle connection is closed.
    using closed_handler = std::function<void(upstream_connection*)>;

    upstream_connection(asio::io_context& context, kernel::i_clock const& clock,
                        std::shared_ptr<upstream_options const> options);
    ~upstream_connection() override;
    upstream_connection(upstream_connection const&) = delete;
    upstream_connection& operator=(upstream_connection const&) = delete;

    /// Connects if necessary, then sends. The observer must stay valid until
    /// the exchange ends or `abandon` is called.
    void send(asio::ip::tcp::endpoint const& peer, upstream_request request,
              i_upstream_observer& observer);
    /// Closes the connection without further calls to the observer.
    void abandon();
    /// Suspend and resume reading of the response.
    void pause();
    void resume();
    void on_idle_close(closed_handler handler);

    /// Whether the connection may be used for another request.
    bool reusable(kernel::steady_time now) const;
    /// Whether a request with this id was sent on this connection recently, so
    /// that its answer could be taken for that of another run.
    bool has_carried(std::string_view id) const;
    kernel::steady_time idle_since() const { return idle_since_; }
    /// Whether a byte of the current request may have reached the peer.
    bool sent() const { return sent_; }

private:
    void on_head(response_head const& head) override;
    void on_body(std::string_view bytes) override;
    void on_end() override;

    void connect(asio::ip::tcp::endpoint const& peer);
    void on_connected();
    void write();
    void read();
    void on_bytes(std::size_t n);
    void on_read_error(bool orderly);
    void fail(upstream_failure failure);
    void finish_exchange(bool must_close);
    void become_idle();
    void close();
    void set_socket_options();
    void note_carried(std::string_view id);

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    kernel::i_clock const& clock_;
    std::shared_ptr<upstream_options const> options_;
    i_upstream_observer* observer_ = nullptr;
    closed_handler idle_closed_;
    response_reader reader_;
    std::vector<char> buffer_;
    upstream_request request_;
    std::chrono::milliseconds idle_limit_{0};
    kernel::steady_time idle_since_{};
    bool connected_ = false;
    bool closed_ = false;
    bool reading_ = false;
    bool paused_ = false;
    bool writing_ = false;
    /// Whether a write has found the connection broken.
    bool lost_ = false;
    bool sent_ = false;
    bool skipping_ = false;
    bool keep_alive_ = false;
    /// Hashes of the ids of the latest requests, in no order.
    std::vector<std::uint64_t> carried_;
    std::size_t oldest_carried_ = 0;
    /// Whether an answer on this connection has named its request.
    bool names_requests_ = false;
};

} // namespace endiveward::gateway

#endif
