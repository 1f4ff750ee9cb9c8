#ifndef ENDIVEWARD_CONFIG_TYPES_SOCKET_ADDRESS_HPP
#define ENDIVEWARD_CONFIG_TYPES_SOCKET_ADDRESS_HPP

#include <cstdint>
#include <string>

namespace endiveward::config
{

/// An IP address and a port.
struct socket_address
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(socket_address const&) const = default;
};

} // namespace endiveward::config

#endif
