#ifndef ENDIVEWARD_WEIGHTS_TYPES_ORDER_OUTCOME_HPP
#define ENDIVEWARD_WEIGHTS_TYPES_ORDER_OUTCOME_HPP

#include <string_view>

namespace endiveward::weights
{

/// What an engine answered to an order.
enum class order_outcome
{
    started,
    already_holds,
    /// Another order is in progress, or another number of orders was accepted.
    conflict,
    /// The engine has seen a higher fencing number.
    fenced,
    /// The order is not understood, or meant for another engine.
    refused,
    /// The order may have been accepted, or may be carried out later.
    no_answer
};

std::string_view to_text(order_outcome outcome);

} // namespace endiveward::weights

#endif
