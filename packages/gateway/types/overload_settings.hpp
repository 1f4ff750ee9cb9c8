#ifndef ENDIVEWARD_GATEWAY_TYPES_OVERLOAD_SETTINGS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_OVERLOAD_SETTINGS_HPP

#include <chrono>

namespace endiveward::gateway
{

/// When a request is turned away because all endpoints are too busy.
struct overload_settings
{
    /// Share of a route's target latency that a request may be expected to
    /// wait before an engine begins with it. Under high load engines begin
    /// up to 250 ms later than expected, so a larger share admits requests
    /// that are late.
    double max_wait_share = 0.3;
    /// When a caller that was turned away may come back: soon enough to be
    /// served within common target latencies of 600 to 1000 ms.
    std::chrono::milliseconds retry_after{300};
};

} // namespace endiveward::gateway

#endif
