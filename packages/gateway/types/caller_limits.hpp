#ifndef ENDIVEWARD_GATEWAY_TYPES_CALLER_LIMITS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_CALLER_LIMITS_HPP

#include <chrono>
#include <cstddef>

namespace endiveward::gateway
{

/// Size limits and timeouts for callers.
struct caller_limits
{
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 4U << 20U;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

} // namespace endiveward::gateway

#endif
