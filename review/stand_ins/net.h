#ifndef REVIEW_STAND_INS_NET_HPP
#define REVIEW_STAND_INS_NET_HPP

// Blocking HTTP/1.1 over loopback for the stand-ins: one thread a connection.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char it) { return std::tolower(it); });
    return text;
}

using headers = std::vector<std::pair<std::string, std::string>>;

inline std::string const* find(headers const& list, std::string const& name)
{
    for (auto const& it : list)
    {
        if (lower(it.first) == lower(name))
            return &it.second;
    }
    return nullptr;
}

inline std::string value_or(headers const& list, std::string const& name,
                            std::string const& fallback = {})
{
    auto const* const it = find(list, name);
    return it == nullptr ? fallback : *it;
}

struct address
{
    std::string host;
    std::uint16_t port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(address const& at)
{
    sockaddr_in res{};
    res.sin_family = AF_INET;
    res.sin_port = htons(at.port);
    inet_pton(AF_INET, at.host.c_str(), &res.sin_addr);
    return res;
}

/// Whether a stand-in or a program can listen there.
inline bool is_free(address const& at)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const sa = to_sockaddr(at);
    auto const ok =
        ::bind(fd, reinterpret_cast<sockaddr const*>(&sa), sizeof(sa)) == 0;
    ::close(fd);
    return ok;
}

/// A connected socket with a buffer of unread bytes.
class channel
{
public:
    explicit channel(int fd)
        : fd_(fd)
    {
        int const one = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }
    ~channel() { close(); }
    channel(channel const&) = delete;
    channel& operator=(channel const&) = delete;

    static std::shared_ptr<channel> connect(address const& to,
                                            milliseconds timeout)
    {
        int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::fcntl(fd, F_SETFL, O_NONBLOCK);
        auto const sa = to_sockaddr(to);
        int rc =
            ::connect(fd, reinterpret_cast<sockaddr const*>(&sa), sizeof(sa));
        if (rc != 0 && errno == EINPROGRESS)
        {
            pollfd p{fd, POLLOUT, 0};
            int error = 0;
            socklen_t size = sizeof(error);
            if (::poll(&p, 1, static_cast<int>(timeout.count())) == 1 &&
                ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
                error == 0)
                rc = 0;
        }
        if (rc != 0)
        {
            ::close(fd);
            return nullptr;
        }
        ::fcntl(fd, F_SETFL, 0);
        return std::make_shared<channel>(fd);
    }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty())
        {
            auto const n =
                ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    enum class outcome
    {
        bytes,
        ended,
        reset,
        timeout
    };

    outcome fill(steady::time_point until)
    {
        auto const left = std::max<std::int64_t>(
            0, std::chrono::duration_cast<milliseconds>(until - steady::now())
                   .count());
        pollfd p{fd_, POLLIN, 0};
        if (::poll(&p, 1, static_cast<int>(left)) != 1)
            return outcome::timeout;
        char buf[16384];
        auto const n = ::recv(fd_, buf, sizeof(buf), 0);
        if (n < 0)
            return outcome::reset;
        if (n == 0)
            return outcome::ended;
        in_.append(buf, static_cast<std::size_t>(n));
        return outcome::bytes;
    }

    /// Whether the peer has closed, without taking bytes.
    bool peer_gone() const
    {
        char c = 0;
        auto const n = ::recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string& in() { return in_; }
    void shut() { ::shutdown(fd_, SHUT_RDWR); }
    void close()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }

private:
    int fd_;
    std::string in_;
};

using channel_ptr = std::shared_ptr<channel>;

struct message
{
    /// Request line or status line.
    std::string first;
    headers fields;
    std::string body;
    int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        auto const at = first.find(' ');
        return first.substr(at + 1, first.find(' ', at + 1) - at - 1);
    }
};

enum class read_result
{
    complete,
    /// The channel ended, or was reset, before the first byte.
    closed,
    /// The channel ended, or was reset, within the message.
    cut,
    timeout
};

namespace detail
{

inline bool need(channel& conn, std::size_t n, steady::time_point until,
                 read_result& why, bool started)
{
    while (conn.in().size() < n)
    {
        switch (conn.fill(until))
        {
        case channel::outcome::bytes:
            break;
        case channel::outcome::timeout:
            why = read_result::timeout;
            return false;
        default:
            why = started || !conn.in().empty() ? read_result::cut
                                                : read_result::closed;
            return false;
        }
    }
    return true;
}

inline bool line(channel& conn, std::string& out, steady::time_point until,
                 read_result& why, bool started)
{
    for (;;)
    {
        auto const at = conn.in().find("\r\n");
        if (at != std::string::npos)
        {
            out = conn.in().substr(0, at);
            conn.in().erase(0, at + 2);
            return true;
        }
        if (!need(conn, conn.in().size() + 1, until, why, started))
            return false;
    }
}

} // namespace detail

/// Reads a request, or an answer with a length or in chunks.
inline read_result read_message(channel& conn, message& out,
                                steady::time_point until)
{
    out = {};
    auto why = read_result::complete;
    if (!detail::line(conn, out.first, until, why, false))
        return why;
    std::string text;
    for (;;)
    {
        if (!detail::line(conn, text, until, why, true))
            return why;
        if (text.empty())
            break;
        auto const colon = text.find(':');
        auto value = text.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        out.fields.emplace_back(text.substr(0, colon), value);
    }
    if (lower(value_or(out.fields, "Transfer-Encoding")) == "chunked")
    {
        for (;;)
        {
            if (!detail::line(conn, text, until, why, true))
                return why;
            auto const n = std::stoul(text, nullptr, 16);
            if (!detail::need(conn, n + 2, until, why, true))
                return why;
            out.body += conn.in().substr(0, n);
            conn.in().erase(0, n + 2);
            if (n == 0)
                return read_result::complete;
        }
    }
    auto const n = std::stoul(value_or(out.fields, "Content-Length", "0"));
    if (!detail::need(conn, n, until, why, true))
        return why;
    out.body = conn.in().substr(0, n);
    conn.in().erase(0, n);
    return read_result::complete;
}

inline std::string make_message(std::string const& first, headers const& fields,
                                std::string const& body)
{
    auto res = first + "\r\n";
    for (auto const& [name, value] : fields)
        res += name + ": " + value + "\r\n";
    res += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return res + body;
}

inline std::string reason_of(int status)
{
    return status == 200 ? "OK" : "Status";
}

/// Listens on a loopback address; each connection has a thread.
class http_server
{
public:
    /// Answers the request on the channel; false closes it.
    using handler = std::function<bool(message const&, channel&)>;

    http_server(address at, handler on_request)
        : at_(std::move(at))
        , on_request_(std::move(on_request))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const one = 1;
        ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        auto const sa = to_sockaddr(at_);
        if (::bind(fd_, reinterpret_cast<sockaddr const*>(&sa), sizeof(sa)) !=
                0 ||
            ::listen(fd_, 512) != 0)
            throw std::runtime_error("cannot listen on " + at_.text());
        thread_ = std::thread([this] { accept_all(); });
    }
    ~http_server() { stop(); }
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    address const& at() const { return at_; }
    bool stopped() const { return stopped_; }

    void stop()
    {
        if (stopped_.exchange(true))
            return;
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        ::close(fd_);
        {
            std::lock_guard const lock(mutex_);
            for (auto const& it : open_)
                it->shut();
        }
        while (threads_ > 0)
            std::this_thread::sleep_for(milliseconds(5));
    }

private:
    void accept_all()
    {
        for (;;)
        {
            int const fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (stopped_)
            {
                if (fd >= 0)
                    ::close(fd);
                return;
            }
            if (fd < 0)
                continue;
            auto conn = std::make_shared<channel>(fd);
            {
                std::lock_guard const lock(mutex_);
                open_.insert(conn);
            }
            ++threads_;
            std::thread([this, conn] { serve(conn); }).detach();
        }
    }

    void serve(channel_ptr const& conn)
    {
        message request;
        while (!stopped_ &&
               read_message(*conn, request,
                            steady::now() + std::chrono::seconds(100)) ==
                   read_result::complete)
        {
            if (!on_request_(request, *conn))
                break;
        }
        {
            std::lock_guard const lock(mutex_);
            open_.erase(conn);
        }
        conn->close();
        --threads_;
    }

    address at_;
    handler on_request_;
    int fd_ = -1;
    std::thread thread_;
    std::atomic<bool> stopped_{false};
    std::atomic<int> threads_{0};
    std::mutex mutex_;
    std::set<channel_ptr> open_;
};

} // namespace review

#endif
