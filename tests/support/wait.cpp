#include "support/wait.hpp"

#include "support/http_client.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <stdexcept>
#include <system_error>
#include <thread>

namespace endiveward::test_support
{

namespace
{

bool is_free(std::uint16_t port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        throw std::system_error(errno, std::generic_category(), "socket");
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(port);
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bool const bound =
        ::bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof(local)) == 0;
    ::close(fd);
    return bound;
}

} // namespace

bool wait_until(std::function<bool()> const& condition,
                std::chrono::milliseconds limit)
{
    constexpr std::chrono::milliseconds step{10};
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(step);
    }
    return true;
}

bool wait_until_serving(std::string const& url, std::chrono::milliseconds limit)
{
    return wait_until([&url] { return get(url).status == 200; }, limit);
}

std::uint16_t free_port()
{
    // Below the ports that Linux gives to outgoing connections, which could
    // take a port before the process that is to listen on it starts.
    constexpr unsigned first = 20'000;
    constexpr unsigned count = 12'000;
    constexpr int attempts = 1000;
    std::random_device source;
    for (int n = 0; n < attempts; ++n)
    {
        auto const port = static_cast<std::uint16_t>(first + source() % count);
        if (is_free(port))
            return port;
    }
    throw std::runtime_error("no free port from 20000 to 31999");
}

} // namespace endiveward::test_support
