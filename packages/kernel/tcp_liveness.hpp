#ifndef ENDIVEWARD_KERNEL_TCP_LIVENESS_HPP
#define ENDIVEWARD_KERNEL_TCP_LIVENESS_HPP

#include <asio/ip/tcp.hpp>

#include <chrono>

namespace endiveward::kernel
{

/// Makes a lost peer show as an error: unacknowledged data after the timeout,
/// an idle connection after about three seconds.
void watch_peer(asio::ip::tcp::socket& socket,
                std::chrono::milliseconds timeout);

} // namespace endiveward::kernel

#endif
