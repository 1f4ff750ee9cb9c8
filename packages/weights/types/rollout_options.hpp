#ifndef ENDIVEWARD_WEIGHTS_TYPES_ROLLOUT_OPTIONS_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_ROLLOUT_OPTIONS_HPP

#include <chrono>
#include <cstddef>

namespace endiveward::weights
{

/// Pace at which the endpoints of a service take new weights.
struct rollout_options
{
    /// Time between two groups: a load takes about 0.8 s (sheets of the
    /// installations), after up to 0.6 s in which requests end.
    std::chrono::milliseconds group_interval{1100};
    /// How long an endpoint is avoided from its turn on, where no agent tells
    /// when it has its new weights.
    std::chrono::milliseconds avoid_period{1600};
    /// One in this many endpoints loads at a time; loads beyond two, or
    /// beyond a fifth of a large service, slow each other down.
    std::size_t group_divisor = 5;
    std::size_t min_group_size = 2;
};

} // namespace endiveward::weights

#endif
