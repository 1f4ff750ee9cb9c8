#ifndef ENDIVEWARD_GATEWAY_TYPES_STOP_STATE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_STOP_STATE_HPP

#include "kernel/i_clock.hpp"

namespace endiveward::gateway
{

/// What requests have to know of a planned stop of the process.
struct stop_state
{
    /// Requests that are still in progress are ended at this time, shortly
    /// before the process exits.
    kernel::steady_time ends_at = kernel::steady_time::max();
    /// New requests are refused, since they might not complete before the
    /// process exits, and so are requests that wait for an endpoint.
    bool refusing = false;
};

} // namespace endiveward::gateway

#endif
