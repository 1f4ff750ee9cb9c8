#ifndef ENDIVEWARD_AGENT_TESTS_FAKE_ENGINE_HPP
#define ENDIVEWARD_AGENT_TESTS_FAKE_ENGINE_HPP

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <condition_variable>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace endiveward::agent
{

/// An HTTP server that sends one prepared response per connection, in order,
/// and then closes the connection, unless it is kept. Responses are raw bytes;
/// the rest of a response can be held back until `release`.
class fake_engine
{
public:
    struct prepared_response
    {
        std::string bytes;
        /// Sent after `release`, if not empty.
        std::string after_release = {};
        /// If not empty, the connection is kept until the client closes it, and
        /// a second request on it is answered with this.
        std::string second = {};
    };

    explicit fake_engine(std::vector<prepared_response> responses)
        : responses_(std::move(responses))
        , acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , port_(acceptor_.local_endpoint().port())
        , thread_([this] { run(); })
    {
    }

    ~fake_engine()
    {
        release();
        {
            std::lock_guard const lock(mutex_);
            stopping_ = true;
        }
        // Unblocks `accept`.
        std::error_code ec;
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), port_}, ec);
        thread_.join();
        for (auto& it : kept_)
            it.join();
    }

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(port_);
    }

    void release()
    {
        std::lock_guard const lock(mutex_);
        released_ = true;
        changed_.notify_all();
    }

    /// Head and body of the requests received so far.
    std::vector<std::string> requests()
    {
        std::lock_guard const lock(mutex_);
        return requests_;
    }

    /// Waits until at least `count` requests have been received.
    bool wait_for_requests(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(30),
                                 [&] { return requests_.size() >= count; });
    }

private:
    void run()
    {
        for (std::size_t n = 0;; ++n)
        {
            std::error_code ec;
            asio::ip::tcp::socket socket(context_);
            acceptor_.accept(socket, ec);
            {
                std::lock_guard const lock(mutex_);
                if (stopping_)
                    return;
            }
            serve(std::move(socket),
                  n < responses_.size() ? responses_[n] : prepared_response{});
        }
    }

    void serve(asio::ip::tcp::socket socket, prepared_response const& response)
    {
        std::error_code ec;
        auto const request = read_request(socket, ec);
        {
            std::lock_guard const lock(mutex_);
            requests_.push_back(request);
            changed_.notify_all();
        }
        asio::write(socket, asio::buffer(response.bytes), ec);
        if (!response.after_release.empty())
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [&] { return released_; });
            lock.unlock();
            asio::write(socket, asio::buffer(response.after_release), ec);
        }
        if (!response.second.empty())
            return keep(std::move(socket), response.second);
        socket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
    }

    void keep(asio::ip::tcp::socket socket, std::string const& answer)
    {
        kept_.emplace_back(
            [this, socket = std::move(socket), answer]() mutable
            {
                std::error_code ec;
                auto const request = read_request(socket, ec);
                if (ec)
                    return;
                {
                    std::lock_guard const lock(mutex_);
                    requests_.push_back(request);
                }
                asio::write(socket, asio::buffer(answer), ec);
            });
    }

    static std::string read_request(asio::ip::tcp::socket& socket,
                                    std::error_code& ec)
    {
        std::string text;
        asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ec);
        auto const head = text.find("\r\n\r\n") + 4;
        auto const field = text.find("Content-Length: ");
        if (ec || field == std::string::npos || field > head)
            return text;
        auto const size = std::stoul(text.substr(field + 16));
        std::size_t const missing = head + size - text.size();
        if (missing > 0)
            asio::read(socket, asio::dynamic_buffer(text),
                       asio::transfer_exactly(missing), ec);
        return text;
    }

    std::vector<prepared_response> responses_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> requests_;
    bool released_ = false;
    bool stopping_ = false;
    std::thread thread_;
    std::list<std::thread> kept_;
};

/// Head of a streamed response. Its body is terminated by closing the
/// connection.
inline std::string stream_response_head(std::string const& version,
                                        std::string const& incarnation)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
           "X-Model-Version: " +
           version + "\r\nX-Engine-Incarnation: " + incarnation +
           "\r\nConnection: close\r\n\r\n";
}

inline std::string json_response(std::string const& status,
                                 std::string const& body,
                                 std::string const& extra_headers = {})
{
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" +
           extra_headers + "Content-Length: " + std::to_string(body.size()) +
           "\r\nConnection: close\r\n\r\n" + body;
}

} // namespace endiveward::agent

#endif
