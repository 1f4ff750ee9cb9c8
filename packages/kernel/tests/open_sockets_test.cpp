#include "kernel/listed_socket.hpp"
#include "kernel/open_sockets.hpp"
#include "kernel/socket_use.hpp"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <list>
#include <memory>
#include <string>

namespace endiveward::kernel
{

namespace
{

/// A server that reads from each connection until it is closed.
class reading_server
{
public:
    struct connection
    {
        explicit connection(asio::io_context& context)
            : server(context)
            , client(context)
        {
        }

        listed_socket server;
        asio::ip::tcp::socket client;
        std::array<char, 4096> buffer{};
        std::error_code ended;
        /// Set while a request is in progress.
        std::unique_ptr<request_token> token;
        std::shared_ptr<socket_use> use;
    };

    connection& connect()
    {
        auto& it = connections_.emplace_back(context);
        it.client.connect(acceptor_.local_endpoint());
        acceptor_.accept(it.server);
        read(it);
        run();
        return it;
    }

    void send(connection& it, std::size_t bytes)
    {
        asio::write(it.client, asio::buffer(std::string(bytes, 'x')));
        run();
    }

    void run()
    {
        context.restart();
        context.run_for(std::chrono::milliseconds(20));
    }

    asio::io_context context{1};
    open_sockets& sockets = asio::use_service<open_sockets>(context);

private:
    void read(connection& it)
    {
        it.server.async_read_some(asio::buffer(it.buffer),
                                  [this, &it](std::error_code ec, std::size_t)
                                  {
                                      it.ended = ec;
                                      it.use = sockets.current();
                                      if (!ec)
                                          read(it);
                                  });
    }

    asio::ip::tcp::acceptor acceptor_{context,
                                      {asio::ip::make_address("127.0.0.1"), 0}};
    std::list<connection> connections_;
};

/// A request of the connection begins and ends.
void serve_request(reading_server::connection& it)
{
    request_token const token(it.use);
}

} // namespace

// Guards against a limit at which idle connections keep new ones out, or at
// which requests in progress are given up.
TEST_CASE("a new connection takes the place of one without progress")
{
    reading_server server;
    server.sockets.set_limit(3);
    auto& serving = server.connect();
    server.send(serving, 10);
    serving.token = std::make_unique<request_token>(serving.use);
    auto& silent = server.connect();
    auto& idle = server.connect();
    server.send(idle, 10);
    serve_request(idle);
    auto& newer = server.connect();
    CHECK(silent.ended == asio::error::connection_reset);
    auto& newest = server.connect();
    CHECK(newer.ended == asio::error::connection_reset);
    CHECK_FALSE(serving.ended);
    CHECK_FALSE(idle.ended);
    CHECK_FALSE(newest.ended);
}

TEST_CASE("a new connection is closed if all others have requests in progress")
{
    reading_server server;
    server.sockets.set_limit(1);
    auto& serving = server.connect();
    server.send(serving, 10);
    serving.token = std::make_unique<request_token>(serving.use);
    auto& rejected = server.connect();
    server.send(rejected, 1);
    CHECK(rejected.ended == asio::error::connection_reset);
    CHECK_FALSE(serving.ended);
}

// Guards against memory of requests that stop short of their end, and against a
// count that is not given back when a request ends or its connection closes.
TEST_CASE("requests that take too much together give way")
{
    constexpr std::size_t request_bytes = 100'000;
    reading_server server;
    server.sockets.set_request_limit(open_sockets::memory_per_byte * 5 *
                                     request_bytes / 2);
    auto& first = server.connect();
    auto& second = server.connect();
    auto& small = server.connect();
    server.send(small, 100);
    server.send(second, request_bytes);
    server.send(first, request_bytes);
    CHECK_FALSE(first.ended);
    CHECK_FALSE(second.ended);
    auto& third = server.connect();
    server.send(third, request_bytes);
    CHECK(second.ended == asio::error::connection_reset);
    CHECK_FALSE(small.ended);
    // What is answered no longer counts.
    serve_request(first);
    auto& fourth = server.connect();
    server.send(fourth, request_bytes);
    for (auto const* const it : {&first, &small, &third, &fourth})
        CHECK_FALSE(it->ended);
}

} // namespace endiveward::kernel
