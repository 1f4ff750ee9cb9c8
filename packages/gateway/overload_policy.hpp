#ifndef ENDIVEWARD_GATEWAY_OVERLOAD_POLICY_HPP
#define ENDIVEWARD_GATEWAY_OVERLOAD_POLICY_HPP

#include "gateway/types/overload_settings.hpp"

#include <chrono>

namespace endiveward::gateway
{

/// Decides whether a request that has not run is refused because it would wait
/// too long.
class overload_policy
{
public:
    explicit overload_policy(overload_settings settings);

    /// Returns the longest expected wait at an endpoint with which a request is
    /// still admitted. If the target latency is zero, only `time_left` limits
    /// it.
    std::chrono::milliseconds
    max_wait(std::chrono::milliseconds target_latency,
             std::chrono::milliseconds time_left) const;

    /// Time after which a refused caller may try again.
    std::chrono::milliseconds retry_after() const
    {
        return settings_.retry_after;
    }

private:
    overload_settings settings_;
};

} // namespace endiveward::gateway

#endif
