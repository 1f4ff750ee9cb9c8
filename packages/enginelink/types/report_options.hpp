#ifndef ENDIVEWARD_ENGINELINK_TYPES_REPORT_OPTIONS_HPP
#define ENDIVEWARD_ENGINELINK_TYPES_REPORT_OPTIONS_HPP

#include <chrono>

namespace endiveward::enginelink
{

/// Pace of an agent's reports to the connected routers.
struct report_options
{
    /// Shortest time between two reports. Batches the cache events of a busy
    /// engine.
    std::chrono::milliseconds min_interval{60};
    /// Shortest time between two reports that differ only in the load.
    std::chrono::milliseconds min_load_interval{250};
    /// Added time between reports per connected router. A router receives the
    /// reports of all engines, so that without it the number of messages would
    /// grow with the square of the fleet: 2900 a second at each of 103 routers
    /// with 180 engines, which took most of the routers' processor time.
    std::chrono::milliseconds interval_per_router{2};
    /// Routers weight a load report by half after 500 ms, so that less frequent
    /// reports would have little effect.
    std::chrono::milliseconds max_interval{1000};
};

} // namespace endiveward::enginelink

#endif
