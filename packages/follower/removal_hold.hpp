#ifndef ENDIVEWARD_FOLLOWER_REMOVAL_HOLD_HPP
#define ENDIVEWARD_FOLLOWER_REMOVAL_HOLD_HPP

#include "follower/types/contact_change.hpp"
#include "follower/types/removal_hold_options.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/store_position.hpp"

#include <optional>

namespace endiveward::follower
{

/// Decides how long an endpoint stays in use after its entry was removed: the
/// entry of a live endpoint may have expired while the store did not answer.
class removal_hold
{
public:
    explicit removal_hold(removal_hold_options options);

    void on_contact_change(contact_change const& change,
                           kernel::steady_time now);
    /// Until when an endpoint is held whose removal, made at `position`, has
    /// just been read; no value if it is not held.
    std::optional<kernel::steady_time>
    held_until(kernel::store_position const& position,
               kernel::steady_time now) const;

private:
    removal_hold_options options_;
    /// The last regained contact.
    std::optional<contact_change> regained_;
    kernel::steady_time regained_at_{};
};

} // namespace endiveward::follower

#endif
