#ifndef ENDIVEWARD_CONFIG_TYPES_AGENT_SETTINGS_HPP
#define ENDIVEWARD_CONFIG_TYPES_AGENT_SETTINGS_HPP

#include "config/types/common_settings.hpp"
#include "config/types/endpoint_entry.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace endiveward::config
{

/// Whether the endpoint rejects orders with an outdated fencing number.
enum class fencing_support : std::uint8_t
{
    checked,
    unchecked
};

/// Settings of `endiveward-agent`.
struct agent_settings
{
    common_settings common;

    // [endpoint]
    kernel::endpoint_id endpoint;
    endpoint_kind kind = endpoint_kind::engine;
    /// Set for `endpoint_kind::service`.
    kernel::service_id service;
    /// Base URL, for example http://127.0.0.1:9000.
    std::string endpoint_url;
    fencing_support fencing = fencing_support::unchecked;
    /// Maximum number of concurrent calls of the endpoint.
    std::size_t capacity = 16;
    std::size_t max_queue = 256;
    /// Maximum number of blocks in the cache index.
    std::size_t max_cache_blocks = 1'000'000;

    // [limits]
    /// Bytes that the requests of calls take together; small ones may take as
    /// much again.
    std::size_t max_call_memory = 64U << 20U;

    // [store]
    /// Retention period of claims of idempotency keys.
    std::chrono::hours claim_retention{24};
};

} // namespace endiveward::config

#endif
