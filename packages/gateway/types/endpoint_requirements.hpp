#ifndef ENDIVEWARD_GATEWAY_TYPES_ENDPOINT_REQUIREMENTS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_ENDPOINT_REQUIREMENTS_HPP

#include "gateway/types/prompt_info.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace endiveward::gateway
{

/// What a request requires of an endpoint.
struct endpoint_requirements
{
    kernel::service_id service;
    std::optional<prompt_info> prompt;
    /// Requests of the same group share KV cache.
    std::string cache_group;
    /// Derived from the request id; seeds the sample of endpoints.
    std::uint64_t seed = 0;
    /// The KV cache stores as `IP:PORT`.
    std::span<std::string const> kv_stores;
    /// If the expected wait at the cheapest endpoint is longer, an idle one is
    /// preferred.
    std::chrono::milliseconds max_wait = std::chrono::milliseconds::max();
    /// When the first output is wanted, and the target for the time until then;
    /// zero if there is none.
    kernel::steady_time due{};
    std::chrono::milliseconds target_latency{0};
    /// Whether all endpoints are compared, and their memory counts, if the
    /// sampled ones have no capacity.
    bool compares_all = false;
    /// Number of processes that probably have requests for whatever a report
    /// shows as free; each takes its share. One if capacity is not scarce.
    std::size_t contenders = 1;
    /// Differs between processes; seeds their shares.
    std::uint64_t process_seed = 0;
    /// The software version at which a stream that goes on began. What two
    /// versions write does not fit together.
    std::optional<kernel::software_version> software;
    /// Whether workspaces have limits or an endpoint of the service reports how
    /// long work takes.
    bool contended = false;
    /// Endpoints that have failed or refused the request.
    std::vector<kernel::endpoint_id> excluded;
};

} // namespace endiveward::gateway

#endif
