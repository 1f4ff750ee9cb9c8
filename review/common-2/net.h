// Blocking sockets, a small HTTP/1.1 reader and a thread per connection.
#pragma once
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <fcntl.h>
#include <strings.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace rv
{

using ms = std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

inline void nap(long n)
{
    if (n > 0)
        std::this_thread::sleep_for(ms(n));
}

inline sockaddr_in address(std::string const& ip, int port)
{
    sockaddr_in res{};
    res.sin_family = AF_INET;
    res.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &res.sin_addr);
    return res;
}

inline bool send_all(int fd, std::string const& text)
{
    std::size_t at = 0;
    while (at < text.size())
    {
        auto const n =
            send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        at += static_cast<std::size_t>(n);
    }
    return true;
}

struct lower_less
{
    bool operator()(std::string const& a, std::string const& b) const
    {
        return strcasecmp(a.c_str(), b.c_str()) < 0;
    }
};

using headers = std::map<std::string, std::string, lower_less>;

struct message
{
    std::string first; // request line or status line
    headers fields;
    std::string body;
    std::string field(std::string const& name) const
    {
        auto const it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        auto const a = first.find(' ') + 1;
        return first.substr(a, first.find(' ', a) - a);
    }
    int status() const
    {
        auto const a = first.find(' ');
        return a == std::string::npos ? 0 : std::atoi(first.c_str() + a + 1);
    }
};

// Reads from a socket until a point in time.
class reader
{
public:
    explicit reader(int fd)
        : fd_(fd)
    {
    }
    steady::time_point until = steady::time_point::max();
    bool timed_out = false;

    bool more()
    {
        pollfd p{fd_, POLLIN, 0};
        int wait = -1;
        if (until != steady::time_point::max())
            wait = static_cast<int>(std::max<long>(
                0, std::chrono::duration_cast<ms>(until - steady::now())
                       .count()));
        if (poll(&p, 1, wait) <= 0)
        {
            timed_out = true;
            return false;
        }
        char buf[16384];
        auto const n = recv(fd_, buf, sizeof(buf), 0);
        if (n <= 0)
        {
            reset = n < 0;
            return false;
        }
        text_.append(buf, static_cast<std::size_t>(n));
        return true;
    }
    bool reset = false;

    bool line(std::string& out)
    {
        std::size_t at;
        while ((at = text_.find('\n')) == std::string::npos)
        {
            if (!more())
                return false;
        }
        out = text_.substr(0, at);
        if (!out.empty() && out.back() == '\r')
            out.pop_back();
        text_.erase(0, at + 1);
        return true;
    }
    bool bytes(std::size_t n, std::string& out)
    {
        while (text_.size() < n)
        {
            if (!more())
                return false;
        }
        out += text_.substr(0, n);
        text_.erase(0, n);
        return true;
    }
    bool head(message& out)
    {
        if (!line(out.first))
            return false;
        std::string l;
        while (line(l))
        {
            if (l.empty())
                return true;
            auto const at = l.find(':');
            auto value = l.substr(at + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            out.fields[l.substr(0, at)] = value;
        }
        return false;
    }
    // Reads the body of a request or of an answer; false if it is not whole.
    bool body(message& out, bool is_answer)
    {
        if (strcasecmp(out.field("Transfer-Encoding").c_str(), "chunked") == 0)
        {
            std::string l;
            while (line(l))
            {
                auto const n = std::strtoul(l.c_str(), nullptr, 16);
                if (n == 0)
                    return line(l);
                if (!bytes(n, out.body) || !line(l))
                    return false;
            }
            return false;
        }
        auto const length = out.field("Content-Length");
        if (!length.empty())
            return bytes(std::strtoul(length.c_str(), nullptr, 10), out.body);
        if (!is_answer)
            return true;
        while (more())
        {
        }
        out.body += std::exchange(text_, {});
        return !timed_out && !reset;
    }

private:
    int fd_;
    std::string text_;
};

inline std::string answer(int status, headers const& fields,
                          std::string const& body)
{
    std::string res = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (auto const& [name, value] : fields)
        res += name + ": " + value + "\r\n";
    return res + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

inline int listen_on(std::string const& ip, int port)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto const at = address(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof(at)) != 0 ||
        listen(fd, 512) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

// Calls `handle` for each request; it returns false to close the connection.
inline bool serve(std::string const& ip, int port,
                  std::function<bool(int, message&)> handle)
{
    int const listener = listen_on(ip, port);
    if (listener < 0)
        return false;
    std::thread(
        [listener, handle]
        {
            while (true)
            {
                int const fd =
                    accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                int const on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                std::thread(
                    [fd, handle]
                    {
                        reader in(fd);
                        message it;
                        while (in.head(it) && in.body(it, false) &&
                               handle(fd, it))
                            it = {};
                        close(fd);
                    })
                    .detach();
            }
        })
        .detach();
    return true;
}

inline int connect_to(std::string const& ip, int port, long timeout_ms)
{
    int const fd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto const at = address(ip, port);
    if (connect(fd, reinterpret_cast<sockaddr const*>(&at), sizeof(at)) != 0)
    {
        pollfd p{fd, POLLOUT, 0};
        int error = errno == EINPROGRESS ? 0 : errno;
        socklen_t n = sizeof(error);
        if (error == 0 && poll(&p, 1, static_cast<int>(timeout_ms)) == 1)
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
        else
            error = ETIMEDOUT;
        if (error != 0)
        {
            close(fd);
            return -1;
        }
    }
    auto const flags = fcntl(fd, F_GETFL);
    fcntl(fd, F_SETFL, flags & ~O_NONBLOCK);
    return fd;
}

} // namespace rv
