#ifndef ENDIVEWARD_GATEWAY_TYPES_LOAD_SAMPLE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_LOAD_SAMPLE_HPP

#include "kernel/i_clock.hpp"

#include <cstdint>

namespace endiveward::gateway
{

/// The load of an endpoint, as reported by a response or by the endpoint's
/// agent.
struct load_sample
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    kernel::steady_time at{};
    /// Requests that this process had in flight at the endpoint at that time.
    std::uint32_t own_requests = 0;
};

} // namespace endiveward::gateway

#endif
