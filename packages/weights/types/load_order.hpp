#ifndef ENDIVEWARD_WEIGHTS_TYPES_LOAD_ORDER_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_LOAD_ORDER_HPP

#include "kernel/types/identifiers.hpp"
#include "weights/types/weight_version.hpp"

#include <cstdint>
#include <string>

namespace endiveward::weights
{

/// What becomes of the runs that are in progress when an engine takes new
/// weights.
enum class running_request_policy
{
    finish_first,
    /// They go on under the new version.
    keep
};

/// An order to an engine to serve another version of a model.
struct load_order
{
    kernel::model_id model;
    weight_version version = 0;
    running_request_policy running_requests =
        running_request_policy::finish_first;
    std::string holder;
    std::uint64_t fencing_number = 0;
    /// Orders that the engine must have accepted so far; an order that arrives
    /// late, after another one, is refused for it.
    std::uint64_t orders_accepted = 0;
};

} // namespace endiveward::weights

#endif
