#ifndef ENDIVEWARD_WEIGHTS_TYPES_ROLLOUT_OPTIONS_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_ROLLOUT_OPTIONS_HPP

#include <chrono>
#include <cstddef>

namespace endiveward::weights
{

/// Pace of a rollout of new weights over the endpoints of a service.
struct rollout_options
{
    /// Time between the starts of two groups. In the documented deployments a
    /// load takes about 0.8 s, after up to 0.6 s in which running requests
    /// finish.
    std::chrono::milliseconds group_interval{1100};
    /// Time from its scheduled load for which routers avoid an endpoint, if no
    /// agent reports the end of the load.
    std::chrono::milliseconds avoid_period{1600};
    /// Groups contain one in `group_divisor` endpoints, but at least
    /// `min_group_size`. More than two concurrent loads, or more than a fifth
    /// of the endpoints of a large service, slow each other down.
    std::size_t group_divisor = 5;
    std::size_t min_group_size = 2;
};

} // namespace endiveward::weights

#endif
