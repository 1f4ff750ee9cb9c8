#ifndef ENDIVEWARD_GATEWAY_TYPES_UNSERVED_REQUEST_HPP
#define ENDIVEWARD_GATEWAY_TYPES_UNSERVED_REQUEST_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstdint>

namespace endiveward::gateway
{

/// A request that no endpoint can take now.
struct unserved_request
{
    /// Derived from the request id; seeds the spread of `Retry-After`.
    std::uint64_t seed = 0;
    std::chrono::milliseconds target_latency{0};
    /// Longest known wait that is worth it.
    std::chrono::milliseconds max_wait{0};
    /// When it first found no endpoint.
    kernel::steady_time waiting_since{};
    /// When this process must have answered it.
    kernel::steady_time expires{};
    /// When the caller stops trying, which may be later.
    kernel::steady_time caller_expires{};
};

} // namespace endiveward::gateway

#endif
