#ifndef ENDIVEWARD_STORAGE_TESTS_SUPPORT_SCRIPTED_SERVER_HPP
#define ENDIVEWARD_STORAGE_TESTS_SUPPORT_SCRIPTED_SERVER_HPP

#include <asio.hpp>

#include <algorithm>
#include <cctype>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace endiveward::storage::tests
{

/// An HTTP server on a loopback port that plays one step for each request and
/// keeps what it received. Clients must close their connections before the
/// server is destroyed.
class scripted_server
{
public:
    /// What happens after a request was read.
    struct step
    {
        /// Bytes to send; empty for none.
        std::string answer;
        bool close = true;
        /// Keeps the connection open without an answer until the client
        /// closes it.
        bool hang = false;
    };

    scripted_server()
        : acceptor_(io_, {asio::ip::address_v4::loopback(), 0})
        , port_(acceptor_.local_endpoint().port())
        , thread_([this] { run(); })
    {
    }

    ~scripted_server()
    {
        // A connection that is accepted after this flag is closed at once.
        {
            std::lock_guard const lock(mutex_);
            stop_ = true;
        }
        asio::io_context io;
        asio::ip::tcp::socket wake(io);
        asio::error_code ec;
        wake.connect({asio::ip::address_v4::loopback(), port_}, ec);
        thread_.join();
        for (auto& it : connections_)
            it.join();
    }

    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    std::string url() const
    {
        return "http://127.0.0.1:" + std::to_string(port_);
    }

    void push(step next)
    {
        std::lock_guard const lock(mutex_);
        steps_.push_back(std::move(next));
    }

    void push_response(int status, std::string const& body,
                       std::string const& headers = "", bool close = true)
    {
        push({"HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
                  "Content-Length: " + std::to_string(body.size()) +
                  "\r\n\r\n" + body,
              close, false});
    }

    /// Requests so far: head and body.
    std::vector<std::string> requests() const
    {
        std::lock_guard const lock(mutex_);
        return requests_;
    }

private:
    void run()
    {
        for (;;)
        {
            asio::ip::tcp::socket socket(io_);
            asio::error_code ec;
            acceptor_.accept(socket, ec);
            {
                std::lock_guard const lock(mutex_);
                if (stop_ || ec)
                    return;
            }
            connections_.emplace_back(
                [this, open = std::move(socket)]() mutable
                {
                    while (serve(open))
                    {
                    }
                });
        }
    }

    /// Serves one request; gives whether the connection stays open.
    bool serve(asio::ip::tcp::socket& socket)
    {
        std::string text;
        asio::error_code ec;
        auto const head = asio::read_until(socket, asio::dynamic_buffer(text),
                                           "\r\n\r\n", ec);
        if (ec)
            return false;
        auto const size = head + content_length(text.substr(0, head));
        if (text.size() < size)
            asio::read(socket, asio::dynamic_buffer(text),
                       asio::transfer_exactly(size - text.size()), ec);
        auto const next = take_step(std::move(text));
        if (!next.answer.empty())
            asio::write(socket, asio::buffer(next.answer), ec);
        if (next.hang)
        {
            char byte = 0;
            asio::read(socket, asio::buffer(&byte, 1), ec);
        }
        return !next.close && !next.hang && !ec;
    }

    step take_step(std::string text)
    {
        std::lock_guard const lock(mutex_);
        requests_.push_back(std::move(text));
        if (steps_.empty())
            return {};
        auto res = std::move(steps_.front());
        steps_.pop_front();
        return res;
    }

    static std::size_t content_length(std::string head)
    {
        std::transform(head.begin(), head.end(), head.begin(),
                       [](unsigned char it)
                       { return static_cast<char>(std::tolower(it)); });
        std::string const name = "content-length:";
        auto const at = head.find(name);
        return at == std::string::npos
                   ? 0
                   : std::stoul(head.substr(at + name.size()));
    }

    asio::io_context io_;
    asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_;
    mutable std::mutex mutex_;
    std::deque<step> steps_;
    std::vector<std::string> requests_;
    bool stop_ = false;
    std::vector<std::thread> connections_;
    std::thread thread_;
};

} // namespace endiveward::storage::tests

#endif
