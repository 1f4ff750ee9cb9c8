#ifndef ENDIVEWARD_PLACEMENT_I_PLACEMENT_HPP
#define ENDIVEWARD_PLACEMENT_I_PLACEMENT_HPP

#include "kernel/types/identifiers.hpp"
#include "kernel/types/result.hpp"

namespace endiveward::wire
{
struct load_report;
struct verdict;
} // namespace endiveward::wire

namespace endiveward::placement
{

struct endpoint_status;
struct placement_choice;
struct placement_request;

/// Selects the endpoint for each call. Safe for concurrent use.
class i_placement
{
public:
    virtual ~i_placement() = default;

    /// Adds an endpoint or updates its status after a membership event
    /// (connection opened or lost, draining, heartbeat).
    virtual void update_endpoint(endpoint_status const& status) = 0;
    virtual void remove_endpoint(kernel::endpoint_id const& id) = 0;

    /// Fails with `no_eligible_endpoint` or `overloaded` if no endpoint can be
    /// chosen.
    virtual kernel::result<placement_choice>
    choose(placement_request const& request) = 0;

    /// Counts a call that the router has sent to the endpoint as in flight.
    virtual void on_sent(placement_request const& request,
                         kernel::endpoint_id const& endpoint) = 0;
    /// Records the load and the cache hit in the agent's verdict.
    virtual void on_verdict(placement_request const& request,
                            kernel::endpoint_id const& endpoint,
                            wire::verdict const& verdict) = 0;
    /// Must be called exactly once for each `on_sent`, however the call ended,
    /// including by a refusal or a lost connection. `load` is the report that
    /// arrived with the end of the call, or null.
    virtual void on_finished(placement_request const& request,
                             kernel::endpoint_id const& endpoint,
                             wire::load_report const* load) = 0;
};

} // namespace endiveward::placement

#endif
