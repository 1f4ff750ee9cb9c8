#ifndef ENDIVEWARD_WEIGHTS_TYPES_LOAD_ORDER_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_LOAD_ORDER_HPP

#include "kernel/types/identifiers.hpp"
#include "weights/types/weight_version.hpp"

#include <cstdint>
#include <string>

namespace endiveward::weights
{

/// How an engine treats running requests when it loads new weights.
enum class running_request_policy
{
    /// They finish under the old version before the load starts.
    finish_first,
    /// They continue under the new version.
    keep
};

/// Order to an engine to load another version of a model's weights.
struct load_order
{
    kernel::model_id model;
    weight_version version = 0;
    running_request_policy running_requests =
        running_request_policy::finish_first;
    /// Name of the process that sends the order.
    std::string holder;
    /// The engine refuses an order with a lower number than it has seen.
    std::uint64_t fencing_number = 0;
    /// Number of orders that the engine must have accepted before this one. A
    /// delayed order that arrives after another one is refused as a conflict.
    std::uint64_t orders_accepted = 0;
};

} // namespace endiveward::weights

#endif
