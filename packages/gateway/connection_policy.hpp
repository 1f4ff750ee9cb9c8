#ifndef ENDIVEWARD_GATEWAY_CONNECTION_POLICY_HPP
#define ENDIVEWARD_GATEWAY_CONNECTION_POLICY_HPP

#include "gateway/buffer_memory.hpp"
#include "gateway/types/connection_load.hpp"

#include <cstddef>
#include <vector>

namespace endiveward::gateway
{

/// Returns the indices of the connections that give back what they hold: first
/// those that have held most for longest. Small requests are the last.
std::vector<std::size_t>
connections_to_relieve(std::vector<connection_load> const& loads,
                       memory_excess const& excess, kernel::steady_time now);

} // namespace endiveward::gateway

#endif
