#ifndef ENDIVEWARD_GATEWAY_TYPES_PROCESS_SETTINGS_HPP
#define ENDIVEWARD_GATEWAY_TYPES_PROCESS_SETTINGS_HPP

#include "kernel/types/identifiers.hpp"
#include "kernel/types/socket_address.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace endiveward::gateway
{

/// Settings of one process from its settings file.
struct process_settings
{
    kernel::process_id name;
    kernel::zone_id zone;
    /// Address of this VM.
    std::string host;
    /// Address on which the gateway accepts callers.
    std::optional<kernel::socket_address> listen_address;
    /// Address on which the process answers readiness probes.
    std::optional<kernel::socket_address> readiness_address;
    /// The engine on this VM.
    std::optional<kernel::socket_address> engine;
    kernel::socket_address store;
    /// Whether the deployment starts for the first time. False after restarts.
    bool first_start = false;
    /// First port for connections between processes. It is the same on all VMs.
    std::uint16_t internal_port = 0;
    /// Time from the stop signal until the process is killed.
    std::chrono::milliseconds stop_grace{8000};
    /// Limit on retries of all processes within ten seconds.
    double retry_budget_ratio = 0.2;
    double retry_budget_extra = 50;
    std::chrono::milliseconds version_deadline{10000};
    /// Time within which a new configuration must be in use.
    std::chrono::milliseconds configuration_deadline{2000};
    /// Time within which requests must no longer be sent to an endpoint that
    /// drains.
    std::chrono::milliseconds endpoint_drain_time{2000};
    /// Time after an outage of the store within which the process must know
    /// what happened in it.
    std::chrono::milliseconds catch_up_time{3000};

    /// Bytes of memory that the process may use; 0 if the settings name none.
    std::size_t memory_limit = 0;
    /// Descriptors that the process may use; 0 if the settings name none.
    std::size_t descriptor_limit = 0;

    bool operator==(process_settings const&) const = default;
};

} // namespace endiveward::gateway

#endif
