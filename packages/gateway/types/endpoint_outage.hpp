#ifndef ENDIVEWARD_GATEWAY_TYPES_ENDPOINT_OUTAGE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_ENDPOINT_OUTAGE_HPP

#include "kernel/i_clock.hpp"

#include <optional>

namespace endiveward::gateway
{

/// Why and until when an endpoint cannot take a request.
struct endpoint_outage
{
    /// When requests may be sent to it again: no value if the end is unknown
    /// but near, `steady_time::max()` if never in this incarnation.
    std::optional<kernel::steady_time> until;
    /// It is loading new weights, or its weights are too old.
    bool loading = false;
    /// It has already failed or refused this request, which is not sent to it
    /// again. Another request of the same caller may be.
    bool tried = false;
    /// It takes no more requests now because of a limit that it names.
    bool limited = false;
};

} // namespace endiveward::gateway

#endif
