#ifndef ENDIVEWARD_GATEWAY_ENDPOINT_KEY_HPP
#define ENDIVEWARD_GATEWAY_ENDPOINT_KEY_HPP

#include <cstdint>

namespace endiveward::gateway
{

struct endpoint_entry;

/// Identifies the endpoint and its incarnation in reports between processes.
std::uint64_t endpoint_key(endpoint_entry const& entry);

} // namespace endiveward::gateway

#endif
