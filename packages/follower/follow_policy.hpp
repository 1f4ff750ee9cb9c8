#ifndef ENDIVEWARD_FOLLOWER_FOLLOW_POLICY_HPP
#define ENDIVEWARD_FOLLOWER_FOLLOW_POLICY_HPP

#include "follower/types/follower_options.hpp"
#include "kernel/i_clock.hpp"

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

} // namespace endiveward::follower

#endif
