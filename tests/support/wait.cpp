#include "support/wait.hpp"

#include "support/http_client.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <system_error>
#include <thread>

namespace endiveward::test_support
{

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
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(local);
    auto* const address = reinterpret_cast<sockaddr*>(&local);
    bool const bound = fd >= 0 && ::bind(fd, address, n) == 0 &&
                       ::getsockname(fd, address, &n) == 0;
    int const error = errno;
    if (fd >= 0)
        ::close(fd);
    if (!bound)
        throw std::system_error(error, std::generic_category(), "free_port");
    return ntohs(local.sin_port);
}

} // namespace endiveward::test_support
