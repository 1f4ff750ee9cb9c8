#ifndef ENDIVEWARD_GATEWAY_TYPES_GATEWAY_SETTINGS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_GATEWAY_SETTINGS_HPP

#include "gateway/types/overload_settings.hpp"
#include "gateway/types/placement_settings.hpp"
#include "kernel/types/identifiers.hpp"
#include "weights/types/rollout_options.hpp"

#include <chrono>
#include <cstddef>

namespace endiveward::gateway
{

/// Settings of a process that serves callers. Bounds come from the
/// installation's settings file; the others are defaults of the program.
struct gateway_settings
{
    kernel::zone_id zone;
    /// Requests sent again, over all processes, within ten seconds: this
    /// share of the requests plus a fixed number.
    double retry_budget_ratio = 0.2;
    double retry_budget_extra = 50;
    /// Processes that serve callers, until the agents tell how many there are.
    std::size_t processes = 32;
    /// Time in which a newly named version of weights must be in use.
    std::chrono::milliseconds version_deadline{10000};
    weights::rollout_options rollout;
    placement_settings placement;
    overload_settings overload;
    /// How many connections callers may have open together.
    std::size_t max_callers = 2000;
};

} // namespace endiveward::gateway

#endif
