#ifndef ENDIVEWARD_GATEWAY_TYPES_OVERLOAD_SETTINGS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_OVERLOAD_SETTINGS_HPP

#include <chrono>

namespace endiveward::gateway
{

/// Settings for refusing requests under overload.
struct overload_settings
{
    /// Longest expected wait of an admitted request, as a share of the route's
    /// target latency. Under high load engines start requests up to 250 ms
    /// later than expected, so that a larger share would admit requests that
    /// end late.
    double max_wait_share = 0.3;
    /// Time after which a refused caller may try again: soon enough to be
    /// served within common target latencies of 600 to 1000 ms.
    std::chrono::milliseconds retry_after{300};
};

} // namespace endiveward::gateway

#endif
