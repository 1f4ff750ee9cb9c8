#ifndef ENDIVEWARD_KERNEL_TYPES_SOCKET_ADDRESS_HPP
#define ENDIVEWARD_KERNEL_TYPES_SOCKET_ADDRESS_HPP

#include <cstdint>
#include <string>

namespace endiveward::kernel
{

/// IP address and port, to listen at or connect to.
struct socket_address
{
    /// IPv4, or IPv6 without brackets.
    std::string host;
    std::uint16_t port = 0;

    bool operator==(socket_address const&) const = default;
};

} // namespace endiveward::kernel

#endif
