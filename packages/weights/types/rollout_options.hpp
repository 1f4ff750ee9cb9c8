#ifndef ENDIVEWARD_WEIGHTS_TYPES_ROLLOUT_OPTIONS_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_ROLLOUT_OPTIONS_HPP

#include <chrono>
#include <cstddef>

namespace endiveward::weights
{

/// Pace at which the endpoints of a service take new weights.
struct rollout_options
{
    /// Time between two groups: one load takes about 0.8 s, and requests that
    /// run when the order arrives are finished first.
    std::chrono::milliseconds interval{1100};
    /// How long one endpoint refuses requests, from its order to its new
    /// weights: the load and the longest common run before it.
    std::chrono::milliseconds unavailable{1600};
    /// One in this many endpoints loads at a time; loads beyond two, or
    /// beyond a fifth of a large service, slow each other down.
    std::size_t group_divisor = 5;
    std::size_t smallest_group = 2;
};

} // namespace endiveward::weights

#endif
