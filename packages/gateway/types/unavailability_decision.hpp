#ifndef ENDIVEWARD_GATEWAY_TYPES_UNAVAILABILITY_DECISION_HPP
#define ENDIVEWARD_GATEWAY_TYPES_UNAVAILABILITY_DECISION_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <string_view>
#include <variant>

namespace endiveward::gateway
{

/// The request waits and looks for an endpoint again at this time.
struct wait_for_endpoint
{
    kernel::steady_time until{};
};

/// The request is rejected now.
struct reject_request
{
    std::string_view reason;
    std::chrono::milliseconds retry_after{0};
};

using unavailability_decision = std::variant<wait_for_endpoint, reject_request>;

} // namespace endiveward::gateway

#endif
