#include "gateway/http/call_client.hpp"

#include "gateway/http/i_upstream_observer.hpp"
#include "gateway/upstream_pool.hpp"

#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <utility>

namespace endiveward::gateway
{

namespace
{

constexpr std::chrono::milliseconds max_idle{60000};
/// Sixteen times the longest page of rows.
constexpr std::size_t max_body_bytes = 16U << 20U;

} // namespace

/// One call. It keeps itself alive until its handler has been called.
class call_client::call : public std::enable_shared_from_this<call>,
                          private i_upstream_observer
{
public:
    call(asio::io_context& context, std::shared_ptr<upstream_pool> pool,
         handler on_done)
        : timer_(context)
        , pool_(std::move(pool))
        , on_done_(std::move(on_done))
    {
    }

    void start(std::string bytes, bool head_request,
               std::chrono::milliseconds timeout)
    {
        self_ = shared_from_this();
        timer_.expires_after(timeout);
        timer_.async_wait(
            [weak = weak_from_this()](std::error_code ec)
            {
                if (auto const self = weak.lock(); self != nullptr && !ec)
                    self->on_timeout();
            });
        conn_ = pool_->acquire(max_idle);
        conn_->send(pool_->peer(),
                    {std::move(bytes), nullptr, {}, head_request}, *this);
    }

private:
    void on_head(response_head const& head) override
    {
        response_.status = head.status;
        response_.headers = head.headers;
    }

    void on_body(std::string_view bytes) override
    {
        if (response_.body.size() + bytes.size() > max_body_bytes)
            return finish(call_failure{false, "response too long"}, false);
        response_.body += bytes;
    }

    void on_end() override { finish(std::move(response_), true); }

    void on_failure(upstream_failure failure) override
    {
        finish(call_failure{failure == upstream_failure::not_connected,
                            std::string(to_text(failure))},
               false);
    }

    /// Whatever made the connection silent may have made the idle ones silent,
    /// too.
    void on_timeout()
    {
        if (conn_ == nullptr)
            return;
        pool_->close_idle();
        finish(call_failure{!conn_->sent(), "timeout"}, false);
    }

    void finish(result res, bool reusable)
    {
        auto const keep = std::exchange(self_, nullptr);
        timer_.cancel();
        auto conn = std::exchange(conn_, nullptr);
        if (!reusable)
            conn->abandon();
        pool_->release(std::move(conn));
        std::exchange(on_done_, nullptr)(std::move(res));
    }

    asio::steady_timer timer_;
    std::shared_ptr<upstream_pool> pool_;
    handler on_done_;
    std::shared_ptr<upstream_connection> conn_;
    std::shared_ptr<call> self_;
    call_response response_;
};

call_client::call_client(asio::io_context& context,
                         kernel::i_clock const& clock,
                         kernel::socket_address const& peer)
    : context_(context)
    , peer_(asio::ip::make_address(peer.host), peer.port)
    , pool_(std::make_shared<upstream_pool>(
          context, clock, std::make_shared<upstream_options const>(), peer_))
{
}

call_client::~call_client() = default;

void call_client::send(std::string const& method, std::string const& target,
                       std::string const& headers, std::string const& body,
                       std::chrono::milliseconds timeout, handler on_done)
{
    auto bytes =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}:{}\r\n{}", method, target,
                    peer_.address().to_string(), peer_.port(), headers);
    if (!body.empty())
        bytes += fmt::format("Content-Length: {}\r\n", body.size());
    bytes += "\r\n";
    bytes += body;
    std::make_shared<call>(context_, pool_, std::move(on_done))
        ->start(std::move(bytes), method == "HEAD", timeout);
}

} // namespace endiveward::gateway
