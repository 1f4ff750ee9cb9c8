#ifndef ENDIVEWARD_ENGINELINK_TYPES_REPORT_OPTIONS_HPP
#define ENDIVEWARD_ENGINELINK_TYPES_REPORT_OPTIONS_HPP

#include <chrono>

namespace endiveward::enginelink
{

/// Pace of an agent's reports to the connected routers.
struct report_options
{
    /// Shortest time between two reports of load.
    std::chrono::milliseconds min_load_interval{250};
    /// Shortest time between a report and one of cache changes alone. Batches
    /// the events of a busy engine.
    std::chrono::milliseconds min_cache_interval{60};
    /// Added to the intervals per connected router. A router receives the
    /// reports of all engines, so that otherwise the number of messages would
    /// grow with the square of the fleet: 2900 a second at each of 103 routers
    /// with 180 engines, which took most of the routers' processor time. The
    /// load goes first: routers that see it late send too many requests to the
    /// same engines. Cache changes usually wait for the next report of load.
    std::chrono::milliseconds load_interval_per_router{2};
    std::chrono::milliseconds cache_interval_per_router{3};
    /// Routers weight a load report by half after 500 ms, so that less frequent
    /// reports would have little effect.
    std::chrono::milliseconds max_interval{1000};
};

} // namespace endiveward::enginelink

#endif
