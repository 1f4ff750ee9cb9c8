#include "follower/follow_policy.hpp"

namespace endiveward::follower
{

namespace
{

/// One router may be cut off from the store, and another may have just lost its
/// connection.
constexpr std::size_t min_informing_routers = 3;
/// A router that the store rejects repeats its request for rows every 500 ms,
/// and the agent must have the newest rows for it.
constexpr std::chrono::milliseconds row_request_retention{10000};

} // namespace

follow_mode
choose_follow_mode(std::size_t routers,
                   std::optional<kernel::steady_time> const& last_row_request,
                   kernel::steady_time now)
{
    if (routers < min_informing_routers)
        return follow_mode::long_poll;
    if (last_row_request && now - *last_row_request < row_request_retention)
        return follow_mode::long_poll;
    return follow_mode::periodic;
}

} // namespace endiveward::follower
