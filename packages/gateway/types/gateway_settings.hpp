#ifndef ENDIVEWARD_GATEWAY_TYPES_GATEWAY_SETTINGS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_GATEWAY_SETTINGS_HPP

#include "gateway/types/overload_settings.hpp"
#include "gateway/types/placement_settings.hpp"
#include "kernel/types/identifiers.hpp"
#include "room/types/room_switch.hpp"
#include "weights/types/rollout_options.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace endiveward::gateway
{

/// Settings of a router process. The limits come from the settings file of the
/// deployment; the others are built-in defaults.
struct gateway_settings
{
    kernel::zone_id zone;
    /// Limit on retries of all processes within ten seconds: this share of the
    /// requests plus a fixed number.
    double retry_budget_ratio = 0.2;
    double retry_budget_extra = 50;
    /// Number of router processes that is assumed until the agents report it.
    std::size_t processes = 32;
    /// Whether an earlier process of this router may have ended just before
    /// this one started, and have used its part of the retry budget.
    bool may_be_restarted = true;
    /// Time within which a new target version must be in use.
    std::chrono::milliseconds version_deadline{10000};
    /// Time within which a new configuration must be in use.
    std::chrono::milliseconds configuration_deadline{2000};
    weights::rollout_options rollout;
    placement_settings placement;
    overload_settings overload;
    /// Whether requests wait for capacity.
    room::room_switch room = room::room_switch::automatic;
    std::size_t max_caller_connections = 2000;
    /// What callers' connections, requests and responses may take together.
    std::size_t buffer_memory_bytes = 16U << 20U;
    /// The same if the largest request that the configuration allows needs
    /// more.
    std::size_t max_buffer_memory_bytes =
        std::numeric_limits<std::size_t>::max();
    /// Should differ between processes, so that they do not return to an
    /// endpoint at the same time after a pause.
    std::uint64_t seed = 0;
};

} // namespace endiveward::gateway

#endif
