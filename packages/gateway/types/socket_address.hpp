#ifndef ENDIVEWARD_GATEWAY_TYPES_SOCKET_ADDRESS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_SOCKET_ADDRESS_HPP

#include <cstdint>
#include <string>

namespace endiveward::gateway
{

struct socket_address
{
    /// IPv4 address.
    std::string host;
    std::uint16_t port = 0;

    bool operator==(socket_address const&) const = default;
};

} // namespace endiveward::gateway

#endif
