#ifndef ENDIVEWARD_WIRE_TYPES_LOAD_REPORT_HPP
#define ENDIVEWARD_WIRE_TYPES_LOAD_REPORT_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/loaded_model.hpp"
#include "wire/types/prefix_level.hpp"

#include <chrono>
#include <cstdint>
#include <vector>

namespace endiveward::wire
{

/// The state of an endpoint as its agent sees it.
struct load_report
{
    kernel::incarnation agent_incarnation = 0;
    kernel::incarnation engine_incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
    std::chrono::milliseconds queue_wait{0};
    bool draining = false;
    std::vector<loaded_model> models;
    /// Prefix levels of the calls that the endpoint accepted last, from any
    /// router, most recent first.
    std::vector<prefix_level> recent_levels;

    bool operator==(load_report const&) const = default;
};

} // namespace endiveward::wire

#endif
