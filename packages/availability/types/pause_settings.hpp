#ifndef ENDIVEWARD_AVAILABILITY_TYPES_PAUSE_SETTINGS_HPP
#define ENDIVEWARD_AVAILABILITY_TYPES_PAUSE_SETTINGS_HPP

#include <chrono>
#include <cstdint>

namespace endiveward::availability
{

/// How traffic returns to an endpoint after a pause that it has asked for.
struct pause_settings
{
    /// Processes return at different times within the time asked for divided by
    /// this, within the limits below, after its end.
    int spread_divisor = 4;
    std::chrono::milliseconds min_spread{100};
    std::chrono::milliseconds max_spread{2000};
    /// A returning process may have one request without a response at the
    /// endpoint, and one more after each step.
    std::chrono::milliseconds return_step{100};
    /// Time after which the number of requests is not limited any more.
    std::chrono::milliseconds return_time{1000};
};

} // namespace endiveward::availability

#endif
