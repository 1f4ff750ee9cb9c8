#ifndef ENDIVEWARD_GATEWAY_EXCHANGE_SERVICES_HPP
#define ENDIVEWARD_GATEWAY_EXCHANGE_SERVICES_HPP

#include "gateway/types/header_field_names.hpp"
#include "kernel/types/identifiers.hpp"

#include <memory>

namespace asio
{
class io_context;
}

namespace endiveward::kernel
{
class i_clock;
}

namespace endiveward::observe
{
class decision_log;
}

namespace endiveward::gateway
{

class endpoint_chooser;
class endpoint_directory;
class gateway_metrics;
class isolation_watch;
class limit_watch;
class origin_watch;
class overload_policy;
class part_watch;
class quota_watch;
class buffer_memory;
class retry_budgets;
class room_queue;
class routing_table;
class speed_watch;
class unavailability_policy;
class weights_view;
struct stop_state;

/// The objects that an exchange uses. All belong to the traffic thread.
struct exchange_services
{
    asio::io_context& context;
    kernel::i_clock const& clock;
    header_field_names const& names;
    endpoint_directory& endpoints;
    endpoint_chooser const& chooser;
    overload_policy const& overload;
    unavailability_policy const& unavailability;
    weights_view const& weights;
    retry_budgets& budgets;
    part_watch& parts;
    limit_watch& limits;
    origin_watch& origins;
    quota_watch& quotas;
    isolation_watch const& isolations;
    speed_watch& speeds;
    room_queue& room;
    buffer_memory& memory;
    gateway_metrics& metrics;
    observe::decision_log& log;
    stop_state const& stop;
    /// The configuration in force; null while none has been received.
    std::shared_ptr<routing_table const> const& table;
};

} // namespace endiveward::gateway

#endif
