#include "follower/follow_policy.hpp"

#include <algorithm>

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
/// New endpoints and crashed ones without an agent are noticed this late.
constexpr std::chrono::milliseconds max_endpoints_delay{2000};
/// Time for the delay after the failure, and for the next call on a new
/// connection.
constexpr std::chrono::milliseconds recovery_time{500};
/// Without changes, a call is made this often at most, since each has a cost.
constexpr std::chrono::milliseconds min_long_poll{200};
constexpr std::chrono::milliseconds max_long_poll{4000};

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

std::chrono::milliseconds
long_poll_time(std::chrono::milliseconds catch_up_time,
               std::chrono::milliseconds response_timeout)
{
    return std::clamp(catch_up_time - response_timeout - recovery_time,
                      min_long_poll, max_long_poll);
}

// The other half of the time is left for the answer of the store and for
// requests that are on their way.
std::chrono::milliseconds
endpoints_coalescing_delay(std::chrono::milliseconds drain_time)
{
    return std::min(drain_time / 2, max_endpoints_delay);
}

} // namespace endiveward::follower
