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

/// Chooses endpoints. Safe for concurrent use.
class i_placement
{
public:
    virtual ~i_placement() = default;

    /// Replaces what is known of an endpoint (connection opened or lost,
    /// draining, heartbeat).
    virtual void update_endpoint(endpoint_status const& status) = 0;
    virtual void remove_endpoint(kernel::endpoint_id const& id) = 0;

    /// Gives `no_eligible_endpoint` or `overloaded` if there is no choice.
    virtual kernel::result<placement_choice>
    choose(placement_request const& request) = 0;

    /// The router sent the call to the endpoint; counts it as in flight.
    virtual void on_sent(placement_request const& request,
                         kernel::endpoint_id const& endpoint) = 0;
    /// The agent answered; records load and cache hit.
    virtual void on_verdict(placement_request const& request,
                            kernel::endpoint_id const& endpoint,
                            wire::verdict const& answer) = 0;
    /// The call ended in any way, also by a refusal or a lost connection;
    /// called exactly once for each `on_sent`. `load` is the report that came
    /// with the end, if any.
    virtual void on_finished(placement_request const& request,
                             kernel::endpoint_id const& endpoint,
                             wire::load_report const* load) = 0;
};

} // namespace endiveward::placement

#endif
