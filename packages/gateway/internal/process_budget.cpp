#include "gateway/process_budget.hpp"

#include "gateway/types/gateway_settings.hpp"

#include <algorithm>

namespace endiveward::gateway
{

namespace
{

/// Of the memory; small requests may take as much again. The rest is for the
/// program, for what it knows of endpoints and their caches, and for what the
/// allocator cannot use.
constexpr std::size_t memory_share = 4;
constexpr std::size_t max_memory_share = 3;
/// Descriptors that are kept for files.
constexpr std::size_t file_descriptors = 200;
/// Sockets for one that is used for agents and the store.
constexpr std::size_t link_share = 8;
constexpr std::size_t operator_listeners = 2;
/// A caller's request has a connection to its endpoint, too.
constexpr std::size_t sockets_per_caller = 2;
constexpr std::size_t min_caller_connections = 16;

} // namespace

process_budget budget_of(std::size_t memory, std::size_t descriptors)
{
    gateway_settings const defaults;
    process_budget res{defaults.max_caller_connections,
                       defaults.buffer_memory_bytes,
                       defaults.max_buffer_memory_bytes};
    if (memory > 0)
    {
        res.buffer_memory = memory / memory_share;
        res.max_buffer_memory = memory / max_memory_share;
    }
    if (descriptors == 0)
        return res;
    auto const sockets = descriptors - std::min(descriptors, file_descriptors);
    auto const reserved =
        sockets / link_share + operator_listeners * max_operator_connections;
    auto const left = sockets - std::min(sockets, reserved);
    // Callers that read their last response have an eighth more.
    auto const places = left / sockets_per_caller * 8 / 9;
    res.caller_connections =
        std::clamp(places, min_caller_connections, res.caller_connections);
    return res;
}

} // namespace endiveward::gateway
