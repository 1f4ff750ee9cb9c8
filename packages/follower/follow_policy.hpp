#ifndef ENDIVEWARD_FOLLOWER_FOLLOW_POLICY_HPP
#define ENDIVEWARD_FOLLOWER_FOLLOW_POLICY_HPP

#include "follower/types/follower_options.hpp"
#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstddef>
#include <optional>

namespace endiveward::follower
{

/// Decides how an agent follows the operators' table, given the number of
/// connected routers, which send it the rows that name weights, and the time of
/// the last request of a router for rows.
follow_mode
choose_follow_mode(std::size_t routers,
                   std::optional<kernel::steady_time> const& last_row_request,
                   kernel::steady_time now);

/// Returns how long a call may wait for changes if a process must have noticed
/// within `catch_up_time` that it is not answered any more, and have read the
/// changes with another call.
std::chrono::milliseconds
long_poll_time(std::chrono::milliseconds catch_up_time,
               std::chrono::milliseconds response_timeout);

/// Returns the delay between changes of the endpoints and the next call for
/// changes, for routers that must not use a draining endpoint after
/// `drain_time`.
std::chrono::milliseconds
endpoints_coalescing_delay(std::chrono::milliseconds drain_time);

} // namespace endiveward::follower

#endif
