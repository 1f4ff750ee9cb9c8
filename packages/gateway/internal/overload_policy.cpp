#include "gateway/overload_policy.hpp"

#include <algorithm>

namespace endiveward::gateway
{

using std::chrono::milliseconds;

overload_policy::overload_policy(overload_settings settings)
    : settings_(settings)
{
}

// Only the wait counts, not the prefill time of the request's own prompt.
// Otherwise long prompts would be refused under a load at which short ones are
// served.
milliseconds overload_policy::max_wait(milliseconds target_latency,
                                       milliseconds time_left) const
{
    using ms = std::chrono::duration<double, std::milli>;
    if (target_latency.count() == 0)
        return time_left;
    auto const limit = std::chrono::duration_cast<milliseconds>(
        ms(target_latency) * settings_.max_wait_share);
    return std::min(limit, time_left);
}

} // namespace endiveward::gateway
