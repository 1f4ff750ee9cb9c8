#include "support/tcp_relay.hpp"

#include "support/wait.hpp"

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <array>
#include <future>
#include <thread>
#include <utility>
#include <vector>

namespace endiveward::test_support
{

using asio::ip::tcp;

namespace
{

/// A connection and its continuation to the target.
struct pair_of_sockets
{
    explicit pair_of_sockets(tcp::socket accepted)
        : near(std::move(accepted))
        , far(near.get_executor())
    {
    }

    void close()
    {
        std::error_code ec;
        near.close(ec);
        far.close(ec);
    }

    tcp::socket near;
    tcp::socket far;
    std::array<char, 16'384> forward{};
    std::array<char, 16'384> backward{};
};

using pair_pointer = std::shared_ptr<pair_of_sockets>;

void pump(pair_pointer const& pair, bool forward)
{
    auto& from = forward ? pair->near : pair->far;
    auto& to = forward ? pair->far : pair->near;
    auto& buf = forward ? pair->forward : pair->backward;
    from.async_read_some(
        asio::buffer(buf),
        [pair, forward, &to, &buf](std::error_code ec, std::size_t size)
        {
            if (ec)
                return pair->close();
            asio::async_write(
                to, asio::buffer(buf.data(), size),
                [pair, forward](std::error_code failed, std::size_t)
                {
                    if (failed)
                        return pair->close();
                    pump(pair, forward);
                });
        });
}

} // namespace

class tcp_relay::server
{
public:
    explicit server(std::uint16_t target_port)
        : target_(asio::ip::address_v4::loopback(), target_port)
        , acceptor_(context_, tcp::endpoint(asio::ip::address_v4::loopback(),
                                            free_port()))
    {
        accept();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~server()
    {
        context_.stop();
        thread_.join();
    }

    server(server const&) = delete;
    server& operator=(server const&) = delete;

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    std::size_t cut()
    {
        std::promise<std::size_t> count;
        asio::post(context_, [&] { count.set_value(close_all()); });
        return count.get_future().get();
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](std::error_code ec, tcp::socket socket)
            {
                if (ec)
                    return;
                connect(std::make_shared<pair_of_sockets>(std::move(socket)));
                accept();
            });
    }

    void connect(pair_pointer const& pair)
    {
        pairs_.push_back(pair);
        pair->far.async_connect(target_,
                                [pair](std::error_code ec)
                                {
                                    if (ec)
                                        return pair->close();
                                    pump(pair, true);
                                    pump(pair, false);
                                });
    }

    std::size_t close_all()
    {
        std::size_t count = 0;
        for (auto const& weak : std::exchange(pairs_, {}))
            if (auto const pair = weak.lock(); pair && pair->near.is_open())
            {
                pair->close();
                ++count;
            }
        return count;
    }

    asio::io_context context_{1};
    tcp::endpoint target_;
    tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<pair_of_sockets>> pairs_;
    std::thread thread_;
};

tcp_relay::tcp_relay(std::uint16_t target_port)
    : server_(std::make_shared<server>(target_port))
{
}

tcp_relay::~tcp_relay() = default;

std::uint16_t tcp_relay::port() const
{
    return server_->port();
}

std::size_t tcp_relay::cut()
{
    return server_->cut();
}

} // namespace endiveward::test_support
