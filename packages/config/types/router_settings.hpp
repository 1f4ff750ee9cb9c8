#ifndef ENDIVEWARD_CONFIG_TYPES_ROUTER_SETTINGS_HPP
#define ENDIVEWARD_CONFIG_TYPES_ROUTER_SETTINGS_HPP

#include "config/types/common_settings.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace endiveward::config
{

enum class isolation_policy : std::uint8_t
{
    /// Keep serving with the last configuration.
    serve,
    /// Refuse requests until the configuration is confirmed again.
    refuse
};

/// Settings of `endiveward run`.
struct router_settings
{
    common_settings common;

    // [listen]
    /// Listen address of the callers' HTTP API (`callers`).
    kernel::socket_address listen_callers;

    // [placement]
    /// Seconds of additional wait that are accepted to save one second of
    /// recomputation.
    double recompute_weight = 1.0;
    /// Number of top-ranked endpoints that are compared by cost.
    std::size_t candidates = 16;
    /// Prefill throughput of an engine in bytes of prompt per second.
    std::uint64_t prefill_bytes_per_second = 40'000;

    // [limits]
    std::size_t max_body_bytes = 8U << 20U;
    std::size_t max_header_bytes = 64U << 10U;
    /// Maximum size of a response that is not streamed to the caller.
    std::size_t max_answer_bytes = 64U << 20U;
    /// If there are more, those without progress for longest are closed.
    std::size_t max_connections = 4096;
    /// Bytes that requests without an answer may take, of all callers together:
    /// three for each byte received. Beyond them, requests that are not
    /// complete are given up.
    std::size_t max_request_memory = 128U << 20U;
    /// Time limit for reading a request; slower clients are disconnected.
    std::chrono::milliseconds read_timeout{10'000};
    /// Deadline of a request without `X-Request-Timeout-Ms`.
    std::chrono::milliseconds default_deadline{60'000};
    std::chrono::milliseconds max_deadline{600'000};
    /// Time limit for an agent's verdict on a call; also limits the wait for a
    /// newer configuration that an agent requires.
    std::chrono::milliseconds verdict_timeout{250};

    // [retry]
    /// Ratio of retries to requests that the retry budget allows.
    double retry_share = 0.1;
    /// Maximum number of retries that the retry budget saves up.
    double retry_burst = 10.0;
    std::size_t max_attempts = 3;

    // [config]
    isolation_policy when_isolated = isolation_policy::serve;
    std::chrono::milliseconds store_poll_interval{2000};
    std::chrono::milliseconds vm_poll_interval{3000};

    // [shutdown]
    /// Delay between reporting not ready and closing the listeners.
    std::chrono::milliseconds shutdown_notice{3000};
};

} // namespace endiveward::config

#endif
