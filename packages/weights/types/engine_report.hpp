#ifndef ENDIVEWARD_WEIGHTS_TYPES_ENGINE_REPORT_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_ENGINE_REPORT_HPP

#include "kernel/types/identifiers.hpp"
#include "weights/types/weight_version.hpp"

#include <cstdint>
#include <map>

namespace endiveward::weights
{

/// What an engine says of itself.
struct engine_report
{
    /// Differs after a restart.
    kernel::incarnation incarnation = 0;
    std::map<kernel::model_id, weight_version> models;
    /// An order is being carried out.
    bool busy = false;
    /// Orders accepted since the start.
    std::uint64_t orders_accepted = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Requests, waiting or running, that have no output yet.
    std::uint32_t unanswered = 0;
    /// Tokens of memory that cannot be given up, and of all memory.
    std::uint64_t memory_used = 0;
    std::uint64_t memory_total = 0;
};

} // namespace endiveward::weights

#endif
