#include "weights/types/order_outcome.hpp"

namespace endiveward::weights
{

std::string_view to_text(order_outcome outcome)
{
    switch (outcome)
    {
    case order_outcome::started:
        return "started";
    case order_outcome::already_holds:
        return "already_holds";
    case order_outcome::conflict:
        return "conflict";
    case order_outcome::fenced:
        return "fenced";
    case order_outcome::refused:
        return "refused";
    case order_outcome::no_answer:
        return "no_answer";
    }
    return "unknown";
}

} // namespace endiveward::weights
