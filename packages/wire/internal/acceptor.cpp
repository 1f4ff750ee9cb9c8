#include "wire/acceptor.hpp"

#include "kernel/thread_pool.hpp"
#include "wire/internal/connection.hpp"

#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>

#include <deque>
#include <memory>

namespace endiveward::wire
{

namespace
{

// Pause after a failed accept, e.g. when file descriptors run out.
constexpr std::chrono::milliseconds accept_retry{100};

} // namespace

class acceptor::impl : public std::enable_shared_from_this<acceptor::impl>
{
    kernel::thread_pool& pool_;
    std::shared_ptr<connection_options const> options_;

public:
    impl(kernel::thread_pool& pool,
         std::shared_ptr<connection_options const> options)
        : pool_(pool)
        , options_(std::move(options))
        , acceptor_(pool.context(0))
        , timer_(pool.context(0))
    {
    }

    kernel::result<std::uint16_t> listen(std::string const& address,
                                         std::uint16_t port)
    {
        std::error_code ec;
        auto const ip = asio::ip::make_address(address, ec);
        if (ec)
            return failure(address, port, ec);
        asio::ip::tcp::endpoint const local(ip, port);
        if (acceptor_.open(local.protocol(), ec) ||
            acceptor_.set_option(asio::socket_base::reuse_address(true), ec) ||
            acceptor_.bind(local, ec) ||
            acceptor_.listen(asio::socket_base::max_listen_connections, ec))
            return failure(address, port, ec);
        auto const bound = acceptor_.local_endpoint(ec).port();
        asio::post(pool_.context(0),
                   [self = shared_from_this()] { self->accept(); });
        return bound;
    }

    void stop()
    {
        asio::post(pool_.context(0),
                   [self = shared_from_this()]
                   {
                       std::error_code ec;
                       self->acceptor_.close(ec);
                       self->timer_.cancel();
                   });
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            pool_.next_context(),
            [self = shared_from_this()](std::error_code ec,
                                        asio::ip::tcp::socket socket)
            {
                if (!self->acceptor_.is_open())
                    return;
                if (ec)
                    return self->accept_later();
                self->start(std::move(socket));
                self->accept();
            });
    }

    /// The oldest handshake gives way if there are too many.
    void start(asio::ip::tcp::socket socket)
    {
        std::erase_if(handshakes_,
                      [](auto const& it)
                      {
                          auto const conn = it.lock();
                          return conn == nullptr || conn->is_open();
                      });
        if (handshakes_.size() >= options_->max_handshakes)
        {
            if (auto const oldest = handshakes_.front().lock())
                oldest->abandon_handshake();
            handshakes_.pop_front();
        }
        auto const conn = std::make_shared<connection>(
            std::move(socket), connection::side::server, options_);
        handshakes_.push_back(conn);
        conn->start({});
    }

    void accept_later()
    {
        timer_.expires_after(accept_retry);
        timer_.async_wait(
            [self = shared_from_this()](std::error_code ec)
            {
                if (!ec)
                    self->accept();
            });
    }

    static kernel::error failure(std::string const& address, std::uint16_t port,
                                 std::error_code const& ec)
    {
        return {kernel::error_kind::invalid_settings,
                fmt::format("cannot listen on {}:{}: {}; choose a free port "
                            "and an address of this VM",
                            address, port, ec.message()),
                kernel::run_state::not_run,
                {}};
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer timer_;
    std::deque<std::weak_ptr<connection>> handshakes_;
};

acceptor::acceptor(kernel::thread_pool& pool,
                   std::shared_ptr<connection_options const> options)
    : impl_(std::make_shared<impl>(pool, std::move(options)))
{
}

acceptor::~acceptor()
{
    stop();
}

kernel::result<std::uint16_t> acceptor::listen(std::string const& address,
                                               std::uint16_t port)
{
    return impl_->listen(address, port);
}

void acceptor::stop()
{
    impl_->stop();
}

} // namespace endiveward::wire
