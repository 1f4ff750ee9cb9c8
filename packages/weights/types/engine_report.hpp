#ifndef ENDIVEWARD_WEIGHTS_TYPES_ENGINE_REPORT_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_ENGINE_REPORT_HPP

#include "kernel/types/identifiers.hpp"
#include "weights/types/weight_version.hpp"

#include <cstdint>
#include <map>

namespace endiveward::weights
{

/// State of a model engine as reported by the engine.
struct engine_report
{
    /// Changes with each restart.
    kernel::incarnation incarnation = 0;
    std::map<kernel::model_id, weight_version> models;
    /// Whether the engine is executing an order.
    bool busy = false;
    /// Number of orders accepted since the engine started.
    std::uint64_t orders_accepted = 0;
    /// Running requests.
    std::uint32_t running = 0;
    /// Queued requests.
    std::uint32_t waiting = 0;
    /// Requests, queued or running, without output so far.
    std::uint32_t unanswered = 0;
    /// Events of the streams in progress, all together.
    std::uint64_t stream_events = 0;
    /// KV cache memory in tokens that cannot be reclaimed.
    std::uint64_t memory_used = 0;
    /// Total KV cache memory in tokens.
    std::uint64_t memory_total = 0;
};

} // namespace endiveward::weights

#endif
