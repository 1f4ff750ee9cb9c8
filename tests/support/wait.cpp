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

/// A socket that is bound to an address and port; below 0 if these are in use.
int bound_socket(in_addr_t address, std::uint16_t port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        throw std::system_error(errno, std::generic_category(), "socket");
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_port = htons(port);
    local.sin_addr.s_addr = htonl(address);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&local), sizeof(local)) == 0)
        return fd;
    ::close(fd);
    return -1;
}

bool is_free(std::uint16_t port)
{
    int const fd = bound_socket(INADDR_LOOPBACK, port);
    if (fd >= 0)
        ::close(fd);
    return fd >= 0;
}

/// Reserves a port for this process until it ends. Other tests that look for
/// one, and this one when it looks again, find the port in use at an address at
/// which nothing listens.
bool reserve(std::uint16_t port)
{
    constexpr in_addr_t reservations = 0x7fff0001; // 127.255.0.1
    return bound_socket(reservations, port) >= 0;
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
        if (is_free(port) && reserve(port))
            return port;
    }
    throw std::runtime_error("no free port from 20000 to 31999");
}

} // namespace endiveward::test_support
