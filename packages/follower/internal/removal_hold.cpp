#include "follower/removal_hold.hpp"

#include "follower/follow_policy.hpp"
#include "follower/internal/reregistration_grace.hpp"

#include <algorithm>

namespace endiveward::follower
{

namespace
{

/// For requests that are on their way when the hold ends.
constexpr std::chrono::milliseconds margin{200};

} // namespace

removal_hold::removal_hold(removal_hold_options options)
    : options_(options)
{
}

void removal_hold::on_contact_change(contact_change const& change,
                                     kernel::steady_time now)
{
    if (!change.reachable)
        return;
    regained_ = change;
    regained_at_ = now;
}

/// What the first answer after an outage reports may have happened at any time
/// in it, also because the store rejected this process alone. The store may
/// have been back since the last call that failed, which limits the hold. What
/// later answers report happened after the outage, at most one pause between
/// two calls ago.
std::optional<kernel::steady_time>
removal_hold::held_until(kernel::store_position const& position,
                         kernel::steady_time now) const
{
    if (!regained_)
        return std::nullopt;
    auto const limit =
        position <= regained_->position
            ? regained_->last_failed_call + options_.catch_up_time
            : now + options_.drain_time -
                  endpoints_coalescing_delay(options_.drain_time);
    auto const end =
        std::min(regained_at_ + reregistration_grace, limit - margin);
    return end > now ? std::optional(end) : std::nullopt;
}

} // namespace endiveward::follower
