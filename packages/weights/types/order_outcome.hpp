#ifndef ENDIVEWARD_WEIGHTS_TYPES_ORDER_OUTCOME_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_ORDER_OUTCOME_HPP

#include <string_view>

namespace endiveward::weights
{

/// Response of an engine to an order.
enum class order_outcome
{
    started,
    /// The engine already serves the version.
    already_holds,
    /// Another order is in progress, or the number of accepted orders differs
    /// from the one in the order.
    conflict,
    /// The engine has seen a higher fencing number.
    fenced,
    /// The order is invalid or addressed to another engine.
    refused,
    /// The response was lost; the order may have been accepted, or may still be
    /// executed later.
    no_answer
};

std::string_view to_text(order_outcome outcome);

} // namespace endiveward::weights

#endif
