#ifndef ENDIVEWARD_ROOM_TYPES_ROOM_DECISION_HPP
#define ENDIVEWARD_ROOM_TYPES_ROOM_DECISION_HPP

#include "kernel/i_clock.hpp"

#include <chrono>
#include <string_view>
#include <variant>

namespace endiveward::room
{

/// The request is sent to the endpoint now.
struct send_now
{
    /// Whether its answer is expected too late for its target latency.
    bool late = false;
};

/// The request waits, and asks again at this time if it was not called before.
struct wait_for_capacity
{
    kernel::steady_time until{};
};

/// The request is refused now.
struct refuse_now
{
    std::string_view reason;
    /// Expected time until there is capacity for it.
    std::chrono::milliseconds time_to_capacity{0};
};

using room_decision = std::variant<send_now, wait_for_capacity, refuse_now>;

} // namespace endiveward::room

#endif
