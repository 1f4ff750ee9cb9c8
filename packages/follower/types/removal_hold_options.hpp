#ifndef ENDIVEWARD_FOLLOWER_TYPES_REMOVAL_HOLD_OPTIONS_HPP
#define ENDIVEWARD_FOLLOWER_TYPES_REMOVAL_HOLD_OPTIONS_HPP

#include <chrono>

namespace endiveward::follower
{

struct removal_hold_options
{
    /// Time within which requests must no longer be sent to an endpoint that
    /// leaves.
    std::chrono::milliseconds drain_time{2000};
    /// Time after an outage of the store within which a process must know what
    /// happened in it.
    std::chrono::milliseconds catch_up_time{3000};
};

} // namespace endiveward::follower

#endif
