#ifndef ENDIVEWARD_GATEWAY_TESTS_SCRIPTED_ENDPOINT_HPP
#define ENDIVEWARD_GATEWAY_TESTS_SCRIPTED_ENDPOINT_HPP

#include "gateway/http/request_reader.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace endiveward::gateway
{

/// The connection on which a script receives a request and answers it.
class scripted_connection
{
public:
    explicit scripted_connection(asio::ip::tcp::socket& socket)
        : socket_(socket)
    {
    }

    void send(std::string const& text)
    {
        std::error_code ec;
        // Errors are ignored: the gateway may have closed the connection, which
        // the test checks by other means.
        asio::write(socket_, asio::buffer(text), ec);
        broken_ = broken_ || ec;
    }

    /// Whether the gateway has closed the connection while something was sent.
    bool is_broken() const { return broken_; }

    /// Sends the text again and again until the gateway closes the connection
    /// or `limit` bytes were sent. Returns their number.
    std::size_t send_until_closed(std::string const& text, std::size_t limit)
    {
        std::error_code ec;
        std::size_t sent = 0;
        while (!ec && sent < limit)
            sent += asio::write(socket_, asio::buffer(text), ec);
        return sent;
    }

    /// Sends a response with the fields that the gateway requires of a success.
    void answer(http_request const& request, int status,
                std::string const& body, std::string const& extra = {})
    {
        send("HTTP/1.1 " + std::to_string(status) + " X\r\nX-Id: " +
             std::string(request.headers.value_or("X-Id", "")) +
             "\r\nX-Signature: sig\r\n" + extra + "Content-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void begin_stream(http_request const& request)
    {
        send("HTTP/1.1 200 OK\r\nX-Id: " +
             std::string(request.headers.value_or("X-Id", "")) +
             "\r\nX-Signature: sig\r\nContent-Type: text/event-stream\r\n"
             "Transfer-Encoding: chunked\r\n\r\n");
    }

    void chunk(std::string const& text)
    {
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        send(size + text + "\r\n");
    }

    void event(int id) { chunk("id: " + std::to_string(id) + "\ndata: x\n\n"); }

    void end_stream() { send("0\r\n\r\n"); }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        std::error_code ec;
        socket_.set_option(asio::socket_base::linger(true, 0), ec);
        socket_.close(ec);
    }

    void wait(std::chrono::milliseconds time)
    {
        std::this_thread::sleep_for(time);
    }

private:
    asio::ip::tcp::socket& socket_;
    bool broken_ = false;
};

/// An endpoint that runs a script for each request. The script returns false to
/// close the connection.
class scripted_endpoint
{
public:
    using script =
        std::function<bool(http_request const&, scripted_connection&)>;

    explicit scripted_endpoint(script on_request)
        : script_(std::move(on_request))
        , acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , thread_([this] { accept(); })
    {
    }

    ~scripted_endpoint()
    {
        stopped_ = true;
        std::error_code ec;
        // Unblocks the accepting thread.
        asio::ip::tcp::socket wake(context_);
        wake.connect(acceptor_.local_endpoint(), ec);
        thread_.join();
        for (auto& it : workers_)
            it.join();
    }

    scripted_endpoint(scripted_endpoint const&) = delete;
    scripted_endpoint& operator=(scripted_endpoint const&) = delete;

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    int requests() const { return requests_; }
    int connections() const { return connections_; }

    std::vector<http_request> seen() const
    {
        std::lock_guard const lock(mutex_);
        return seen_;
    }

private:
    void accept()
    {
        while (!stopped_)
        {
            std::error_code ec;
            asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket, ec);
            if (stopped_ || ec)
                return;
            ++connections_;
            workers_.emplace_back([this, socket = std::move(socket)]() mutable
                                  { serve(std::move(socket)); });
        }
    }

    void serve(asio::ip::tcp::socket socket)
    {
        request_reader reader({1U << 16U, 8U << 20U});
        scripted_connection conn(socket);
        // A reset would discard events that wait for an acknowledgement.
        std::error_code ec;
        socket.set_option(asio::ip::tcp::no_delay(true), ec);
        std::string input;
        std::vector<char> buffer(4096);
        timeval const limit{0, 50000};
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit,
                   sizeof(limit));
        while (!stopped_ && socket.is_open())
        {
            auto const n =
                ::recv(socket.native_handle(), buffer.data(), buffer.size(), 0);
            if (n == 0)
                return;
            if (n < 0)
                continue;
            input.append(buffer.data(), static_cast<std::size_t>(n));
            input.erase(0, reader.feed(input));
            while (reader.state() == read_state::complete)
            {
                auto const request = reader.take();
                ++requests_;
                {
                    std::lock_guard const lock(mutex_);
                    seen_.push_back(request);
                }
                if (!script_(request, conn))
                    return;
                input.erase(0, reader.feed(input));
            }
        }
    }

    script script_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> stopped_{false};
    std::atomic<int> requests_{0};
    std::atomic<int> connections_{0};
    mutable std::mutex mutex_;
    std::vector<http_request> seen_;
    std::list<std::thread> workers_;
    std::thread thread_;
};

} // namespace endiveward::gateway

#endif
