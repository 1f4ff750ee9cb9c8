#include "gateway/process_budget.hpp"

#include "gateway/types/gateway_settings.hpp"

namespace endiveward::gateway
{

namespace
{

/// Of the memory; small requests may take as much again. The rest is for the
/// program, for what it knows of endpoints and their caches, and for what the
/// allocator cannot use.
constexpr std::size_t memory_share = 4;
constexpr std::size_t max_memory_share = 3;
} // namespace

process_budget budget_of(std::size_t memory)
{
    gateway_settings const defaults;
    process_budget res{defaults.buffer_memory_bytes,
                       defaults.max_buffer_memory_bytes};
    if (memory > 0)
    {
        res.buffer_memory = memory / memory_share;
        res.max_buffer_memory = memory / max_memory_share;
    }
    return res;
}

} // namespace endiveward::gateway
