#ifndef ENDIVEWARD_GATEWAY_CONNECTION_POLICY_HPP
#define ENDIVEWARD_GATEWAY_CONNECTION_POLICY_HPP

#include "gateway/buffer_memory.hpp"
#include "gateway/types/connection_load.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace endiveward::gateway
{

/// Returns the indices of the connections that give back what they hold: first
/// those that have held most for longest. Small requests are the last.
std::vector<std::size_t>
connections_to_relieve(std::vector<connection_load> const& loads,
                       memory_excess const& excess, kernel::steady_time now);

/// How many connections keep their places in spite of what they do.
struct spared_connections
{
    /// Callers that may still read their last response.
    std::size_t lingering = 0;
    /// Callers that have just connected, begun a request or been sent a
    /// response. Idle connections give way before them.
    std::size_t recent = 0;
};

/// Returns the index of the connection that gives its place to a new one: the
/// one that has made no progress for longest. If more are of a kind than are
/// spared, that kind is not spared at all. None if requests are in progress on
/// all others.
std::optional<std::size_t>
connection_to_displace(std::vector<connection_load> const& loads,
                       spared_connections const& spared,
                       kernel::steady_time now);

std::size_t count_lingering(std::vector<connection_load> const& loads);

} // namespace endiveward::gateway

#endif
