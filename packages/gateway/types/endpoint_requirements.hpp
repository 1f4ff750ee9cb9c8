#ifndef ENDIVEWARD_GATEWAY_TYPES_ENDPOINT_REQUIREMENTS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_ENDPOINT_REQUIREMENTS_HPP

#include "gateway/types/prompt_info.hpp"
#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace endiveward::gateway
{

/// What a request needs of an endpoint.
struct endpoint_requirements
{
    kernel::service_id service;
    std::optional<prompt_info> prompt;
    /// Requests share KV cache within one group.
    std::string cache_group;
    /// Differs from request to request.
    std::uint64_t seed = 0;
    /// `IP:PORT` of the stores of KV cache.
    std::span<std::string const> kv_stores;
    /// If the request is expected to wait longer at the best endpoint, one that
    /// is idle goes before it.
    std::chrono::milliseconds max_wait = std::chrono::milliseconds::max();
    /// Endpoints that have failed or refused the request.
    std::vector<kernel::endpoint_id> excluded;
};

} // namespace endiveward::gateway

#endif
