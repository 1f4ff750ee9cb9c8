#ifndef ENDIVEWARD_GATEWAY_TYPES_HELD_REQUEST_HPP
#define ENDIVEWARD_GATEWAY_TYPES_HELD_REQUEST_HPP

#include "gateway/types/endpoint_requirements.hpp"
#include "gateway/types/route.hpp"
#include "gateway/types/workspace_entry.hpp"
#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace endiveward::gateway
{

/// A request that may have to wait for capacity.
struct held_request
{
    std::string_view id;
    route const& via;
    /// Null if the route needs no key.
    workspace_entry const* workspace = nullptr;
    /// The workspace's share of capacity relative to others.
    double weight = 1;
    endpoint_requirements const& requirements;
    kernel::steady_time arrived{};
    kernel::steady_time expires{};
    /// The same for a retry of the caller.
    std::uint64_t content_key = 0;
    std::size_t bytes = 0;
    /// Longest expected wait that the target latency allows.
    std::chrono::milliseconds own_max_wait{0};
};

} // namespace endiveward::gateway

#endif
