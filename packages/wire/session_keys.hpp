#ifndef ENDIVEWARD_WIRE_SESSION_KEYS_HPP
#define ENDIVEWARD_WIRE_SESSION_KEYS_HPP

#include "wire/types/cluster_key.hpp"

#include <cstdint>
#include <span>
#include <string>

namespace endiveward::wire
{

/// Keys of one connection, one per direction.
struct session_keys
{
    std::string client_to_server;
    std::string server_to_client;
};

/// Derives the keys from the cluster key and both hello payloads. A change to
/// either hello on the way gives the two sides different keys.
session_keys derive_session_keys(cluster_key const& key,
                                 std::span<std::uint8_t const> client_hello,
                                 std::span<std::uint8_t const> server_hello);

} // namespace endiveward::wire

#endif
