#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

namespace endiveward::gateway
{

namespace
{

/// More than the buffers of two sockets hold.
constexpr std::size_t upload_bytes = 24U << 20U;

enum class ending
{
    reset,
    /// Ends its side of the connection, then reads the rest of the request.
    shutdown,
    /// Ends its side, and closes the connection while the request still comes.
    shutdown_and_close
};

/// Answers as soon as a request begins to arrive, without a length.
class early_endpoint
{
public:
    early_endpoint(std::string answer, ending how)
        : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , thread_([this, answer = std::move(answer), how]
                  { serve(answer, how); })
    {
    }

    ~early_endpoint() { thread_.join(); }
    early_endpoint(early_endpoint const&) = delete;
    early_endpoint& operator=(early_endpoint const&) = delete;

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

private:
    void serve(std::string const& answer, ending how)
    {
        std::error_code ec;
        auto socket = acceptor_.accept(ec);
        std::vector<char> buffer(4096);
        socket.read_some(asio::buffer(buffer), ec);
        asio::write(socket, asio::buffer(answer), ec);
        if (how != ending::reset)
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
        // The answer has to arrive before the connection ends.
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        while (how == ending::shutdown && !ec)
            socket.read_some(asio::buffer(buffer), ec);
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

std::string answer_to_upload(std::string const& path, std::string const& answer,
                             ending how)
{
    early_endpoint endpoint(answer, how);
    test_gateway gate;
    caller_limits limits;
    limits.body_bytes = 2 * upload_bytes;
    gate.set_caller_limits(limits);
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send("POST " + path +
                " HTTP/1.1\r\nHost: h\r\nX-Id: id1\r\nX-Time: 4000\r\n"
                "X-Key: key1\r\nConnection: close\r\nContent-Length: " +
                std::to_string(upload_bytes) + "\r\n\r\n" +
                std::string(upload_bytes, 'x'));
    return caller.read_all();
}

std::string const head = "HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Signature: s\r\n";

} // namespace

// Guards against a part of an answer that looks complete: the failed write of
// the request takes the error of the reset, and reading then ends without one.
TEST_CASE("an early answer without length that is reset is not complete")
{
    auto const* const path = GENERATE("/once/", "/safe/");
    auto const text = answer_to_upload(path, head + "\r\npart", ending::reset);
    CHECK(text.starts_with("HTTP/1.1 502"));
    CHECK(text.find("part") == std::string::npos);
}

TEST_CASE("an early stream without length that is reset is broken off")
{
    auto const* const path = GENERATE("/stream/", "/resume/");
    auto const text = answer_to_upload(
        path,
        head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
        ending::reset);
    CAPTURE(text);
    CHECK(text.find("\r\n0\r\n\r\n") == std::string::npos);
}

// Guards against a fix that takes answers away from callers of sound endpoints.
TEST_CASE("an early answer without length that ends in order is complete")
{
    auto const how = GENERATE(ending::shutdown, ending::shutdown_and_close);
    auto const text =
        answer_to_upload("/once/", head + "\r\nwhole answer", how);
    CHECK(text.starts_with("HTTP/1.1 200"));
    CHECK(text.ends_with("whole answer"));
}

TEST_CASE("an early answer with a length is complete before a reset")
{
    auto const text = answer_to_upload(
        "/once/", head + "Content-Length: 5\r\n\r\nwhole", ending::reset);
    CHECK(text.starts_with("HTTP/1.1 200"));
    CHECK(text.ends_with("whole"));
}

} // namespace endiveward::gateway
