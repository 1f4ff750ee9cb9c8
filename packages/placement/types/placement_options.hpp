#ifndef ENDIVEWARD_PLACEMENT_TYPES_PLACEMENT_OPTIONS_HPP
#define ENDIVEWARD_PLACEMENT_TYPES_PLACEMENT_OPTIONS_HPP

#include <cstddef>
#include <cstdint>

namespace endiveward::placement
{

/// Placement settings; see `config::router_settings`.
struct placement_options
{
    /// Seconds of additional queue wait accepted to save one second of prefix
    /// recomputation.
    double recompute_weight = 1.0;
    /// Number of first-ranked endpoints that are compared by cost.
    std::size_t candidates = 16;
    /// Prefill rate of an engine, in prompt bytes per second.
    std::uint64_t prefill_bytes_per_second = 40'000;
    /// Maximum number of hit hints for each endpoint. 1,024 hints take about
    /// 100 KiB, so 300 endpoints take about 30 MiB.
    std::size_t max_hints_per_endpoint = 1024;
};

} // namespace endiveward::placement

#endif
