#ifndef ENDIVEWARD_GATEWAY_OVERLOAD_POLICY_HPP
#define ENDIVEWARD_GATEWAY_OVERLOAD_POLICY_HPP

#include "gateway/types/overload_settings.hpp"

#include <chrono>

namespace endiveward::gateway
{

/// Decides whether a request that has not run is turned away because it would
/// wait too long.
class overload_policy
{
public:
    explicit overload_policy(overload_settings settings);

    /// How long a request may be expected to wait until an endpoint begins
    /// with it; if it is longer, the request is refused. A target latency of
    /// zero sets no limit but the time left.
    std::chrono::milliseconds
    max_wait(std::chrono::milliseconds target_latency,
             std::chrono::milliseconds time_left) const;

    /// When a caller that was refused may come back.
    std::chrono::milliseconds retry_after() const
    {
        return settings_.retry_after;
    }

private:
    overload_settings settings_;
};

} // namespace endiveward::gateway

#endif
