#ifndef ENDIVEWARD_PLACEMENT_TYPES_PLACEMENT_OPTIONS_HPP
#define ENDIVEWARD_PLACEMENT_TYPES_PLACEMENT_OPTIONS_HPP

#include <cstddef>
#include <cstdint>

namespace endiveward::placement
{

/// Settings of the choice; see `config::router_settings`.
struct placement_options
{
    /// Seconds of extra wait accepted to save one second of recomputation.
    double recompute_weight = 1.0;
    /// Ranked endpoints that are compared by cost.
    std::size_t candidates = 16;
    /// Prompt bytes that an engine processes per second.
    std::uint64_t prefill_bytes_per_second = 40'000;
    /// Hit hints kept for each endpoint; 1,024 hints take about 100 KiB, so
    /// 300 endpoints stay near 30 MiB.
    std::size_t max_hints_per_endpoint = 1024;
};

} // namespace endiveward::placement

#endif
