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

/// Returns the index of the connection that gives its place to a new one: the
/// one that has made no progress for longest. Up to `max_lingering` callers may
/// still read their last response. None if requests are in progress on all
/// others.
std::optional<std::size_t>
connection_to_displace(std::vector<connection_load> const& loads,
                       std::size_t max_lingering);

std::size_t count_lingering(std::vector<connection_load> const& loads);

} // namespace endiveward::gateway

#endif
