#include "kernel/tcp_liveness.hpp"

#include <netinet/tcp.h>

namespace endiveward::kernel
{

namespace
{

template <int Name>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

constexpr int idle_seconds = 1;
constexpr int interval_seconds = 1;
constexpr int probes = 2;

} // namespace

void watch_peer(asio::ip::tcp::socket& socket,
                std::chrono::milliseconds timeout)
{
    std::error_code ec;
    // Where an option cannot be set the system's default holds, which only
    // detects a lost peer later.
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    socket.set_option(tcp_option<TCP_KEEPIDLE>(idle_seconds), ec);
    socket.set_option(tcp_option<TCP_KEEPINTVL>(interval_seconds), ec);
    socket.set_option(tcp_option<TCP_KEEPCNT>(probes), ec);
    socket.set_option(
        tcp_option<TCP_USER_TIMEOUT>(static_cast<int>(timeout.count())), ec);
}

} // namespace endiveward::kernel
