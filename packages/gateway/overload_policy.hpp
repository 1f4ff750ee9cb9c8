#ifndef ENDIVEWARD_GATEWAY_OVERLOAD_POLICY_HPP
#define ENDIVEWARD_GATEWAY_OVERLOAD_POLICY_HPP

#include "gateway/types/overload_settings.hpp"

#include <chrono>
#include <optional>

namespace endiveward::gateway
{

/// Decides whether a request that has not run is turned away because it would
/// wait too long.
class overload_policy
{
public:
    explicit overload_policy(overload_settings settings);

    /// Gives when the caller may come back if the request is to be refused.
    /// `wait` is the expected time until an endpoint begins with the request.
    /// A target latency of zero sets no limit but the time left.
    std::optional<std::chrono::milliseconds>
    refusal(std::chrono::milliseconds wait,
            std::chrono::milliseconds target_latency,
            std::chrono::milliseconds time_left) const;

private:
    overload_settings settings_;
};

} // namespace endiveward::gateway

#endif
