#include "gateway/overload_policy.hpp"

namespace endiveward::gateway
{

using std::chrono::milliseconds;

overload_policy::overload_policy(overload_settings settings)
    : settings_(settings)
{
}

// Only the wait counts, not the time to read the request's own prompt:
// otherwise long prompts would be refused at a load at which short ones are
// served.
std::optional<milliseconds>
overload_policy::refusal(milliseconds wait, milliseconds target_latency,
                         milliseconds time_left) const
{
    using ms = std::chrono::duration<double, std::milli>;
    if (wait >= time_left)
        return settings_.retry_after;
    if (target_latency.count() > 0 &&
        ms(wait) > ms(target_latency) * settings_.admitted_wait)
        return settings_.retry_after;
    return std::nullopt;
}

} // namespace endiveward::gateway
